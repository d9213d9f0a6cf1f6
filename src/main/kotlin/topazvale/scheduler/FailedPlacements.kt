package topazvale.scheduler

import topazvale.model.JobSpec

/**
 * Jobs for which there was no room in this plan. Room only shrinks while a plan is made, so that another job that asks
 * for as much under the same conditions need not be tried.
 */
internal class FailedPlacements {
    private class Failure(val spec: JobSpec, val tasks: Int) {
        fun covers(other: JobSpec, wanted: Int): Boolean {
            val asksForNoLess = tasks <= wanted && spec.need.fitsIn(other.need)
            return asksForNoLess && spec.rank >= other.rank && sameConditions(other)
        }

        private fun sameConditions(other: JobSpec): Boolean {
            val samePlaces = spec.types == other.types && spec.zone == other.zone && spec.oneZone == other.oneZone
            return samePlaces && spec.spotAllowed == other.spotAllowed
        }
    }

    private val failures = ArrayList<Failure>()

    /** Whether [tasks] tasks of the job are known to find no room. */
    fun covers(spec: JobSpec, tasks: Int): Boolean = failures.any { it.covers(spec, tasks) }

    /** So many tasks of the job have found no room. */
    fun add(spec: JobSpec, tasks: Int) {
        failures += Failure(spec, tasks)
    }
}
