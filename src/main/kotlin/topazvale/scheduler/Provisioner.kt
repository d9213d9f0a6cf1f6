package topazvale.scheduler

import topazvale.model.JobSpec
import topazvale.model.Market
import topazvale.model.Resources
import kotlin.time.Duration

/** Decides which machines to rent and which to return. */
class Provisioner(
    private val slackPolicy: SlackPolicy,
    private val bidStrategy: BidStrategy,
    private val idleTimeout: Duration,
) {
    /**
     * Plans rentals for tasks that could not be placed and do not fit into capacity that will be free soon. Skips the
     * [refused] markets, which had no capacity a short time ago.
     */
    fun planRentals(
        snapshot: Snapshot,
        placementPlan: PlacementPlan,
        refused: Set<Market>,
        maxMachines: Int,
    ): List<RentalRequest> = RentalPlanning(snapshot, placementPlan, refused, maxMachines).buildRequests()

    private inner class RentalPlanning(
        private val snapshot: Snapshot,
        private val placementPlan: PlacementPlan,
        private val refused: Set<Market>,
        private val maxMachines: Int,
    ) {
        private val futureCapacity by lazy(LazyThreadSafetyMode.NONE) {
            snapshot.machines.mapTo(ArrayList()) { FutureCapacity(it, placementPlan.freeByHost[it.host] ?: it.free) }
        }
        private val countByMarket = LinkedHashMap<Market, Int>()
        private var plannedMachines = 0

        fun buildRequests(): List<RentalRequest> {
            // When all capacity is rented, most often nothing more can be had, and the computation is skipped.
            val canRent = (placementPlan.unplaced + placementPlan.unreservedReplicas).any {
                affordableMarkets(snapshot, it, refused).isNotEmpty()
            }
            if (!canRent && snapshot.gpuWastingJobs.distinct().none { cpuOnlyMarket(it) != null }) return emptyList()
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
            fun allowedIn(zone: String, tasks: Int) =
                minOf(tasks, PlacementRules.remainingInZone(job.spec, inZone, zone))
            var remaining = job.pendingTasks
            for ((zone, group) in if (job.spec.spread) {
                suitableCapacity(job).groupBy { it.market.zone }
            } else {
                mapOf("" to suitableCapacity(job))
            }) {
                val allocated = allocate(job, allowedIn(zone, remaining).coerceAtLeast(0), group)
                inZone.merge(zone, allocated, Int::plus)
                remaining -= allocated
            }
            while (remaining > 0 && plannedMachines < maxMachines) {
                val market =
                    cheapestMarket(snapshot, job, remaining, refused) { allowedIn(it.zone, remaining) > 0 } ?: return
                val fitting = rent(market, job.spec, allowedIn(market.zone, remaining))
                if (job.spec.spread) inZone.merge(market.zone, fitting, Int::plus)
                remaining -= fitting
            }
        }

        /**
         * Rents in the zone where the cost is lowest, given the capacity that will be free there soon. A gang for which
         * no zone qualifies takes no capacity from other jobs.
         */
        private fun rentInOneZone(job: WaitingJob) {
            val capacityByZone = suitableCapacity(job).groupBy { it.market.zone }
            val marketsByZone = affordableMarkets(snapshot, job, refused).groupBy { it.zone }
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

        private fun lowestPrice(job: WaitingJob, markets: List<Market>) = markets.minOf {
            pricePerTask(snapshot, job.spec, it, job.pendingTasks)
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
            cpuOnlyMarket(spec)?.let { rent(it, spec, 1) }
        }

        private fun cpuOnlyMarket(spec: JobSpec): Market? = allowedMarkets(snapshot, spec)
            .filter { it !in refused && snapshot.types.getValue(it.type).capacity.gpus == 0.0 }
            .minByOrNull { snapshot.types.getValue(it.type).price(it.spot) }
    }

    /**
     * The hosts that have been idle for their idle timeout, which is longer for cheaper machines. Hosts with capacity
     * [reserved] for replicas are not returned.
     */
    fun planReturns(snapshot: Snapshot, reserved: Set<String>): List<String> = snapshot.machines.filter { machine ->
        val timeout = idleTimeout * idleTimeoutFactor(machine, snapshot)
        machine.up && machine.host !in reserved && machine.idleFor != null && machine.idleFor >= timeout
    }.map { it.host }

    private fun idleTimeoutFactor(machine: MachineState, snapshot: Snapshot): Double {
        val price = machine.type.price(machine.market.spot)
        if (price == 0.0) return MAX_IDLE_TIMEOUT_FACTOR
        return (snapshot.highestPrice / price).coerceIn(1.0, MAX_IDLE_TIMEOUT_FACTOR)
    }

    /** The market with the lowest price per task. */
    private fun cheapestMarket(
        snapshot: Snapshot,
        job: WaitingJob,
        tasks: Int,
        refused: Set<Market>,
        isAllowed: (Market) -> Boolean,
    ): Market? = affordableMarkets(snapshot, job, refused).filter(isAllowed)
        .minByOrNull { pricePerTask(snapshot, job.spec, it, tasks) }

    /** Spot markets with a price below the bid; on-demand markets only for urgent jobs. */
    private fun affordableMarkets(snapshot: Snapshot, job: WaitingJob, refused: Set<Market>): List<Market> {
        val urgent = slackPolicy.slack(job, snapshot.now) == Duration.ZERO
        return allowedMarkets(snapshot, job.spec).filter { market ->
            val type = snapshot.types.getValue(market.type)
            market !in refused && if (market.spot) {
                type.spotPrice < bidStrategy.bid(market.type, type.spotPrice, urgent, snapshot.now)
            } else {
                urgent
            }
        }
    }

    private fun pricePerTask(snapshot: Snapshot, spec: JobSpec, market: Market, tasks: Int): Double {
        val type = snapshot.types.getValue(market.type)
        return type.price(market.spot) / minOf(tasks, spec.need.countFittingIn(type.capacity))
    }

    private fun allowedMarkets(snapshot: Snapshot, spec: JobSpec): List<Market> = snapshot.types.values
        .filter { spec.need.fitsIn(it.capacity) }
        .flatMap { type ->
            type.zones.flatMap { zone -> listOf(Market(type.name, zone, true), Market(type.name, zone, false)) }
        }
        .filter { PlacementRules.allows(spec, it.type, it.zone, it.spot) }

    private companion object {
        /**
         * The idle timeout of cheap machines is at most this many times that of the most expensive one: idle capacity
         * costs little there.
         */
        const val MAX_IDLE_TIMEOUT_FACTOR = 4.0
    }
}
