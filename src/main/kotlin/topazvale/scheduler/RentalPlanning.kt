package topazvale.scheduler

import topazvale.model.JobSpec
import topazvale.model.Market

/**
 * Plans rentals of at most [maxMachines] machines for tasks that could not be placed and do not fit into capacity that
 * will be free soon. Used for one plan.
 */
internal class RentalPlanning(
    private val snapshot: Snapshot,
    private val placementPlan: PlacementPlan,
    private val markets: MarketSelection,
    private val maxMachines: Int,
) {
    private val futureCapacity by lazy(LazyThreadSafetyMode.NONE) {
        snapshot.machines.mapTo(ArrayList()) { FutureCapacity(it, placementPlan.freeByHost[it.host] ?: it.free) }
    }
    private val countByMarket = LinkedHashMap<Market, Int>()
    private var plannedMachines = 0

    /** The machines to rent in each market. */
    fun buildRequests(): List<RentalRequest> {
        // When all capacity is rented, most often nothing more can be had, and the computation is skipped.
        val waiting = placementPlan.unplaced + placementPlan.unreservedReplicas
        val canRent = waiting.any { markets.affordable(it).isNotEmpty() }
        val canReplace = canRent || snapshot.gpuWastingJobs.distinct().any { markets.cheapestWithoutGpus(it) != null }
        if (!canReplace) return emptyList()
        for (job in placementPlan.unplaced) {
            if (plannedMachines >= maxMachines) break
            if (job.spec.oneZone) rentInOneZone(job) else rentInAnyZone(job)
        }
        for (job in placementPlan.unreservedReplicas) if (plannedMachines < maxMachines) rentInAnyZone(job)
        for (spec in snapshot.gpuWastingJobs) if (plannedMachines < maxMachines) rentReplacement(spec)
        return countByMarket.map { RentalRequest(it.key, it.value) }
    }

    private fun rentInAnyZone(job: WaitingJob) {
        // Capacity in a zone that has its share of a spread job already is of no use to the job.
        val inZone = HashMap(job.placedByZone)
        fun allowedIn(zone: String, tasks: Int) = minOf(tasks, PlacementRules.remainingInZone(job.spec, inZone, zone))
        var remaining = job.pendingTasks
        for ((zone, group) in capacityGroups(job)) {
            val allocated = allocate(job, allowedIn(zone, remaining).coerceAtLeast(0), group)
            inZone.merge(zone, allocated, Int::plus)
            remaining -= allocated
        }
        while (remaining > 0 && plannedMachines < maxMachines) {
            val market = markets.cheapest(job, remaining) { allowedIn(it.zone, remaining) > 0 } ?: return
            val fitting = rent(market, job.spec, allowedIn(market.zone, remaining))
            if (job.spec.spread) inZone.merge(market.zone, fitting, Int::plus)
            remaining -= fitting
        }
    }

    /** The suitable capacity, by zone for a spread job, of which a zone takes only a share. */
    private fun capacityGroups(job: WaitingJob): Map<String, List<FutureCapacity>> {
        val suitable = suitableCapacity(job)
        return if (job.spec.spread) suitable.groupBy { it.market.zone } else mapOf(ANY_ZONE to suitable)
    }

    /**
     * Rents in the zone where the cost is lowest, given the capacity that will be free there soon. A gang for which
     * no zone qualifies takes no capacity from other jobs.
     */
    private fun rentInOneZone(job: WaitingJob) {
        val capacityByZone = suitableCapacity(job).groupBy { it.market.zone }
        val marketsByZone = markets.affordable(job).groupBy { it.zone }
        val zones = (capacityByZone.keys + marketsByZone.keys)
            .filter { PlacementRules.remainingInZone(job.spec, job.placedByZone, it) > 0 }
        val soonFreeTasks = zones.associateWith { zone ->
            val fitting = capacityByZone[zone].orEmpty().sumOf { fittingTasks(job, it).toLong() }
            minOf(fitting, job.pendingTasks.toLong()).toInt()
        }
        val zone = soonFreeTasks.entries.firstOrNull { it.value >= job.pendingTasks }?.key
            ?: soonFreeTasks.keys.filter { it in marketsByZone }.minByOrNull {
                lowestPrice(job, marketsByZone.getValue(it)) *
                    (job.pendingTasks - soonFreeTasks.getValue(it))
            }
        if (zone == null) return
        var remaining = job.pendingTasks - allocate(job, job.pendingTasks, capacityByZone[zone].orEmpty())
        if (remaining == 0) return
        val market = marketsByZone.getValue(zone).minBy { lowestPrice(job, listOf(it)) }
        while (remaining > 0) remaining -= rent(market, job.spec, remaining)
    }

    private fun lowestPrice(job: WaitingJob, candidates: List<Market>) = candidates.minOf {
        markets.pricePerTask(job.spec, it, job.pendingTasks)
    }

    private fun rent(market: Market, spec: JobSpec, tasks: Int): Int {
        val type = snapshot.types.getValue(market.type)
        val fitting = minOf(tasks, spec.need.countFittingIn(type.capacity))
        countByMarket.merge(market, 1, Int::plus)
        plannedMachines++
        futureCapacity += FutureCapacity(market, type, type.capacity - spec.need * fitting)
        return fitting
    }

    private fun suitableCapacity(job: WaitingJob) = futureCapacity.filter {
        PlacementRules.allows(job.spec, it.market.type, it.market.zone, it.market.spot) &&
            job.spec.need.fitsIn(it.maxFree)
    }

    private fun fittingTasks(job: WaitingJob, capacity: FutureCapacity) =
        job.spec.need.countFittingIn(capacity.freeWithin(waitHorizon(job, capacity.type, snapshot.now)))

    private fun allocate(job: WaitingJob, tasks: Int, group: List<FutureCapacity>): Int {
        var remaining = tasks
        for (capacity in group) {
            if (remaining == 0) break
            val count = minOf(remaining, fittingTasks(job, capacity))
            if (count > 0) capacity.allocate(job.spec.need * count)
            remaining -= count
        }
        return tasks - remaining
    }

    /**
     * Urgent work that had to use a machine with GPUs prevents that machine from being returned. A machine without
     * GPUs is rented for the work that follows it, unless one will have free capacity.
     */
    private fun rentReplacement(spec: JobSpec) {
        val available = futureCapacity.firstOrNull {
            it.type.capacity.gpus == 0.0 && spec.need.fitsIn(it.freeWithin(it.type.bootTime)) &&
                PlacementRules.allows(spec, it.market.type, it.market.zone, it.market.spot)
        }
        if (available != null) return available.allocate(spec.need)
        markets.cheapestWithoutGpus(spec)?.let { rent(it, spec, 1) }
    }

    private companion object {
        const val ANY_ZONE = ""
    }
}
