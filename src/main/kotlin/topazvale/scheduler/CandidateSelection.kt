package topazvale.scheduler

import topazvale.model.JobSpec

/** A number of a job's tasks for one candidate, with the placement cost of each task in seconds. */
internal class TaskAllocation(val candidate: Candidate, val tasks: Int, val cost: Double)

/** Chooses machines for the tasks of one job among candidates with free capacity; changes nothing. */
internal class CandidateSelection(private val snapshot: Snapshot, private val imageLocality: ImageLocality) {
    /**
     * A candidate with free capacity for [maxTasks] tasks. [cost]: the placement cost, in seconds, of using it instead
     * of an ideal machine. It includes [fetchSeconds], the wait for the image.
     */
    private class PlacementOption(
        val candidate: Candidate,
        val maxTasks: Int,
        val fetchSeconds: Double,
        val cost: Double,
    ) {
        val host get() = candidate.machine.host
        val zone get() = candidate.machine.market.zone
    }

    /** Allocates up to [tasks] tasks of the job; for a gang either all of them or none. */
    fun select(job: WaitingJob, tasks: Int, candidates: List<Candidate>): List<TaskAllocation> {
        val mayWaitForImage = imageLocality.mayWait(job)
        val options = candidates.mapNotNull { option(job, it, mayWaitForImage) }
        return when {
            job.spec.oneZone -> selectInOneZone(job, tasks, options)
            job.spec.isService -> distributeReplicas(job, tasks, options)
            else -> selectByCost(job, tasks, options)
        }
    }

    private fun option(job: WaitingJob, candidate: Candidate, mayWaitForImage: Boolean): PlacementOption? {
        val spec = job.spec
        val maxTasks = if (PlacementRules.allows(spec, candidate.machine)) usableTasks(job, candidate) else 0
        if (maxTasks == 0) return null
        val fetchSeconds = candidate.fetchSeconds(spec)
        if (mayWaitForImage && fetchSeconds > SHORT_FETCH_S && candidate.fetchesOtherImage(spec)) return null
        return PlacementOption(candidate, maxTasks, fetchSeconds, fetchSeconds + machineCost(spec, candidate))
    }

    private fun usableTasks(job: WaitingJob, candidate: Candidate) =
        PlacementRules.usableTasks(job, candidate, snapshot)

    /** The placement cost without the fetch of the image. */
    private fun machineCost(spec: JobSpec, candidate: Candidate): Double {
        val machine = candidate.machine
        val gpuWasteCost = if (PlacementRules.wastesGpus(spec, candidate)) GPU_WASTE_COST_S else 0.0
        // An unused machine could soon be returned. Replicas are exempt: capacity is reserved for them on idle machines
        // too, and these are not returned.
        val idleCost =
            if (machine.idleFor != null && candidate.free == machine.free && !spec.isService) IDLE_COST_S else 0.0
        // On-demand machines are left to jobs that may not use spot machines, but replicas are better off on them.
        val marketCost = if (spec.spotAllowed && machine.market.spot == spec.isService) WRONG_MARKET_COST_S else 0.0
        return gpuWasteCost + idleCost + marketCost
    }

    private fun selectInOneZone(job: WaitingJob, tasks: Int, options: List<PlacementOption>): List<TaskAllocation> {
        val zones = options.groupBy { it.zone }
            .filterKeys { PlacementRules.remainingInZone(job.spec, job.placedByZone, it) > 0 }
            .values
        val sufficient = zones.filter { zone -> zone.sumOf { it.maxTasks } >= tasks }
        if (sufficient.isEmpty()) {
            val largest = zones.maxByOrNull { zone -> zone.sumOf { it.maxTasks } }
            return if (job.spec.isGang || largest == null) emptyList() else selectByCost(job, tasks, largest)
        }
        // Among zones of equal cost the one with the least free capacity: a larger gang may need that of the others.
        return sufficient.sortedBy { zone -> zone.sumOf { it.maxTasks } }
            .map { selectByCost(job, tasks, it) }
            .minBy { allocations -> allocations.sumOf { it.cost * it.tasks } }
    }

    /**
     * Distributes replicas so that the loss of a machine or a zone takes as few of them as possible. A late start,
     * because the image has to be fetched first, counts as worse than a shared machine or zone.
     */
    private fun distributeReplicas(job: WaitingJob, tasks: Int, options: List<PlacementOption>): List<TaskAllocation> {
        val inZone = HashMap(job.placedByZone)
        val onHost = HashMap(job.placedByHost)
        val selected = LinkedHashMap<PlacementOption, Int>()
        fun hasCapacity(option: PlacementOption) = (selected[option] ?: 0) < option.maxTasks &&
            PlacementRules.remainingInZone(job.spec, inZone, option.zone) > 0

        fun cost(option: PlacementOption): Double {
            val sharingCost =
                (onHost[option.host] ?: 0) * SHARED_MACHINE_COST_S + (inZone[option.zone] ?: 0) * SHARED_ZONE_COST_S
            return sharingCost + option.cost
        }
        repeat(tasks) {
            val best = options.filter(::hasCapacity)
                .minWithOrNull(compareBy({ PlacementRules.wastesGpus(job.spec, it.candidate) }, ::cost))
                ?: return@repeat
            selected.merge(best, 1, Int::plus)
            onHost.merge(best.host, 1, Int::plus)
            inZone.merge(best.zone, 1, Int::plus)
        }
        return selected.map { (option, count) -> TaskAllocation(option.candidate, count, option.cost) }
    }

    private fun selectByCost(job: WaitingJob, tasks: Int, options: List<PlacementOption>): List<TaskAllocation> {
        val zoneLimit = ZoneLimit(job)
        val fetchLimit = FetchLimit(job)
        val allocations = ArrayList<TaskAllocation>()
        var remaining = tasks
        for (option in options.sortedBy { it.cost }) {
            if (remaining == 0) break
            val count =
                fetchLimit.limit(option, remaining, minOf(remaining, option.maxTasks, zoneLimit.remaining(option.zone)))
            if (count > 0) {
                allocations += TaskAllocation(option.candidate, count, option.cost)
                zoneLimit.record(option.zone, count)
                fetchLimit.record(option, count)
                remaining -= count
            }
        }
        // A gang starts with all its tasks or not at all.
        return if (job.spec.isGang && remaining > 0) emptyList() else allocations
    }

    /** How many tasks of the job may still be placed in each zone. */
    private class ZoneLimit(private val job: WaitingJob) {
        private val inZone = HashMap(job.placedByZone)

        fun remaining(zone: String): Int = PlacementRules.remainingInZone(job.spec, inZone, zone)

        fun record(zone: String, tasks: Int) {
            inZone.merge(zone, tasks, Int::plus)
        }
    }

    /**
     * Limits how many tasks of an ordinary job fetch their image for long. The others wait for machines that cache it.
     */
    private inner class FetchLimit(private val job: WaitingJob) {
        private var remaining: Int? = null

        fun limit(option: PlacementOption, unplaced: Int, count: Int): Int {
            if (option.fetchSeconds <= SHORT_FETCH_S || !imageLocality.mayWait(job)) return count
            val maxFetches =
                remaining ?: imageLocality.tasksToFetch(job, unplaced, option.fetchSeconds).also { remaining = it }
            return minOf(count, maxFetches)
        }

        fun record(option: PlacementOption, tasks: Int) {
            if (option.fetchSeconds > SHORT_FETCH_S) remaining = remaining?.minus(tasks)
        }
    }

    companion object {
        /** A fetch of at most this many seconds is not worth avoiding. */
        const val SHORT_FETCH_S = 5.0
        private const val GPU_WASTE_COST_S = 1000.0
        private const val IDLE_COST_S = 15.0
        private const val WRONG_MARKET_COST_S = 5.0
        private const val SHARED_MACHINE_COST_S = 8.0
        private const val SHARED_ZONE_COST_S = 2.0
    }
}
