package topazvale.scheduler

import topazvale.model.JobSpec

/**
 * Jobs for which this plan had no free capacity. Free capacity only shrinks while a plan is made, so another job that
 * needs at least as much under the same constraints need not be tried.
 */
internal class FailedPlacements {
    private class Failure(val spec: JobSpec, val tasks: Int) {
        fun implies(other: JobSpec, otherTasks: Int): Boolean {
            val needsAsMuch = tasks <= otherTasks && spec.need.fitsIn(other.need)
            return needsAsMuch && spec.rank >= other.rank && hasSameConstraints(other)
        }

        private fun hasSameConstraints(other: JobSpec): Boolean {
            val samePlaces = spec.types == other.types && spec.zone == other.zone && spec.oneZone == other.oneZone
            return samePlaces && spec.spotAllowed == other.spotAllowed
        }
    }

    private val failures = ArrayList<Failure>()

    /** Whether an earlier failure implies that [tasks] tasks of the job find no capacity. */
    fun covers(spec: JobSpec, tasks: Int): Boolean = failures.any { it.implies(spec, tasks) }

    /** Records that [tasks] tasks of the job found no capacity. */
    fun add(spec: JobSpec, tasks: Int) {
        failures += Failure(spec, tasks)
    }
}
