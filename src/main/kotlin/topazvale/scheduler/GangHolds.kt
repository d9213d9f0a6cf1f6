package topazvale.scheduler

import topazvale.model.Resources
import kotlin.time.Duration.Companion.seconds

/**
 * Capacity holds for gangs that could not be placed. A gang needs all its capacity at once; without holds, smaller jobs
 * would take each bit that becomes free, and the gang would starve.
 */
internal class GangHolds(private val snapshot: Snapshot) {
    private class Hold(val candidate: Candidate, val tasks: Int)

    private val held = HashMap<String, List<Hold>>()

    /** Releases the holds of the gang, so that it can use that capacity when it is tried again in the same plan. */
    fun release(job: WaitingJob) {
        held.remove(job.spec.id)?.forEach { it.candidate.hold(job.spec, -it.tasks) }
    }

    /**
     * Holds capacity for the gang in the zone that offers the most, if the rest will be free soon or the gang has
     * waited for long. Capacity that the gang could preempt counts as well: otherwise a smaller gang would preempt it
     * for itself.
     */
    fun hold(job: WaitingJob, tasks: Int, candidates: List<Candidate>) {
        val fitting = candidates.filter { PlacementRules.allows(job.spec, it.machine) }
        val zones = if (job.spec.oneZone) fitting.groupBy { it.machine.market.zone } else mapOf(ANY_ZONE to fitting)
        val (zone, inZone) = zones.maxByOrNull { (_, group) -> group.sumOf { attainableTasks(job, it) } } ?: return
        val waitedLong = snapshot.now - job.submitted >= JobOrder.STARVATION_THRESHOLD
        if (!waitedLong && soonFreeTasks(job, zone) < tasks) return
        var remaining = tasks
        val holds = ArrayList<Hold>()
        for (candidate in inZone.sortedByDescending { usableTasks(job, it) }) {
            val count = minOf(remaining, attainableTasks(job, candidate))
            if (count <= 0) continue
            candidate.hold(job.spec, count)
            holds += Hold(candidate, count)
            remaining -= count
        }
        held[job.spec.id] = holds
    }

    private fun usableTasks(job: WaitingJob, candidate: Candidate) =
        PlacementRules.usableTasks(job, candidate, snapshot)

    private fun attainableTasks(job: WaitingJob, candidate: Candidate) =
        minOf(candidate.startSlots, job.spec.need.countFittingIn(candidate.attainableCapacity(job.spec)))

    private fun soonFreeTasks(job: WaitingJob, zone: String): Long = snapshot.machines
        .filter { PlacementRules.allows(job.spec, it) && (zone == ANY_ZONE || it.market.zone == zone) }
        .sumOf { job.spec.need.countFittingIn(soonFreeCapacity(it)).toLong() }

    private fun soonFreeCapacity(machine: MachineState): Resources {
        if (!machine.up) return machine.free
        return machine.releases.value.filter { it.expectedIn <= SOON }.fold(machine.free) { sum, release ->
            sum +
                release.need
        }
    }

    private companion object {
        const val ANY_ZONE = ""

        /** Capacity that will be free within this time is worth holding other capacity for. */
        val SOON = 30.seconds
    }
}
