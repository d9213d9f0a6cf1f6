package topazvale.scheduler

import topazvale.model.Resources
import kotlin.time.Duration.Companion.seconds

/**
 * Capacity held for gangs that could not be placed. A gang needs all its room at once, and what becomes free bit by bit
 * would go to smaller jobs for ever.
 */
internal class GangHolds(private val snapshot: Snapshot) {
    private class Hold(val candidate: Candidate, val tasks: Int)

    private val held = HashMap<String, List<Hold>>()

    /** What is held for a gang is its own once it is tried again in the same plan. */
    fun release(job: WaitingJob) {
        held.remove(job.spec.id)?.forEach { it.candidate.hold(job.spec, -it.tasks) }
    }

    /**
     * The zone in which most could be had keeps it for the gang, if the rest is soon there or the gang has waited for
     * long. What could be stopped for it counts: a smaller gang would else have that stopped for itself.
     */
    fun hold(job: WaitingJob, tasks: Int, candidates: List<Candidate>) {
        val fitting = candidates.filter { PlacementRules.allows(job.spec, it.machine) }
        val zones = if (job.spec.oneZone) fitting.groupBy { it.machine.market.zone } else mapOf(ANY_ZONE to fitting)
        val (zone, there) = zones.maxByOrNull { (_, group) -> group.sumOf { reachable(job, it) } } ?: return
        val waitedLong = snapshot.now - job.submitted >= JobOrder.STARVATION_THRESHOLD
        if (!waitedLong && soonFreeTasks(job, zone) < tasks) return
        var left = tasks
        val holds = ArrayList<Hold>()
        for (candidate in there.sortedByDescending { usable(job, it) }) {
            val count = minOf(left, reachable(job, candidate))
            if (count <= 0) continue
            candidate.hold(job.spec, count)
            holds += Hold(candidate, count)
            left -= count
        }
        held[job.spec.id] = holds
    }

    private fun usable(job: WaitingJob, candidate: Candidate) =
        PlacementRules.usableTasks(job.spec, candidate, snapshot.cpusPerGpu)

    private fun reachable(job: WaitingJob, candidate: Candidate) =
        minOf(candidate.starts, job.spec.need.countFittingIn(candidate.reach(job.spec)))

    private fun soonFreeTasks(job: WaitingJob, zone: String): Int = snapshot.machines
        .filter { PlacementRules.allows(job.spec, it) && (zone == ANY_ZONE || it.market.zone == zone) }
        .sumOf { job.spec.need.countFittingIn(soonFree(it)) }

    private fun soonFree(machine: MachineState): Resources {
        if (!machine.up) return machine.free
        return machine.releases.value.filter { it.expectedIn <= SOON }.fold(machine.free) { sum, release ->
            sum +
                release.need
        }
    }

    private companion object {
        const val ANY_ZONE = ""

        /** What will be free within this is worth holding other capacity for. */
        val SOON = 30.seconds
    }
}
