package topazvale.scheduler

import topazvale.model.JobSpec
import topazvale.model.Market
import topazvale.model.Resources
import kotlin.time.Duration

/** Decides what to rent and what to return. */
class Provisioner(private val slack: SlackPolicy, private val bids: BidStrategy, private val keep: Duration) {
    /** Rents for what could not be placed and will not fit into room that is soon there. */
    fun planRentals(
        s: Snapshot,
        placementPlan: PlacementPlan,
        refused: Set<Market>,
        mostPerRent: Int,
    ): List<RentalRequest> = Renting(s, placementPlan, refused, mostPerRent).make()

    private inner class Renting(
        private val s: Snapshot,
        private val placementPlan: PlacementPlan,
        private val refused: Set<Market>,
        private val most: Int,
    ) {
        private val future by lazy(LazyThreadSafetyMode.NONE) {
            s.machines.mapTo(ArrayList()) { FutureCapacity(it, placementPlan.freeByHost[it.host] ?: it.free) }
        }
        private val rents = LinkedHashMap<Market, Int>()
        private var rented = 0

        fun make(): List<RentalRequest> {
            // With all capacity rented mostly nothing more can be had, and nothing need be worked out.
            val wanted = (placementPlan.unplaced + placementPlan.unreservedReplicas).any {
                affordable(s, it, refused).isNotEmpty()
            }
            if (!wanted && s.gpuWastingJobs.distinct().none { relief(it) != null }) return emptyList()
            for (job in placementPlan.unplaced) {
                if (rented >= most) break
                if (job.spec.oneZone) inOneZone(job) else anywhere(job)
            }
            for (job in placementPlan.unreservedReplicas) if (rented < most) anywhere(job)
            for (spec in s.gpuWastingJobs) if (rented < most) relieve(spec)
            return rents.map { RentalRequest(it.key, it.value) }
        }

        private fun anywhere(job: WaitingJob) {
            // Room in a zone that has its share of a spread job already is of no use to it.
            val inZone = HashMap(job.placedByZone)
            fun may(zone: String, left: Int) = minOf(left, job.spec.zoneLimit - (inZone[zone] ?: 0))
            var left = job.pendingTasks
            for ((zone, group) in if (job.spec.spread) {
                fitting(job).groupBy { it.market.zone }
            } else {
                mapOf("" to fitting(job))
            }) {
                val found = take(job, may(zone, left).coerceAtLeast(0), group)
                inZone.merge(zone, found, Int::plus)
                left -= found
            }
            while (left > 0 && rented < most) {
                val market = choose(s, job, left, refused) { may(it.zone, left) > 0 } ?: return
                val found = rent(market, job.spec, may(market.zone, left))
                if (job.spec.spread) inZone.merge(market.zone, found, Int::plus)
                left -= found
            }
        }

        /**
         * Where least has to be rented beside what is coming. A gang that has no such zone takes no room from others.
         */
        private fun inOneZone(job: WaitingJob) {
            val byZone = fitting(job).groupBy { it.market.zone }
            val markets = affordable(s, job, refused).groupBy { it.zone }
            val zones = if (job.placedByZone.isEmpty()) byZone.keys + markets.keys else job.placedByZone.keys
            val counts = zones.associateWith { zone ->
                byZone[zone].orEmpty().sumOf { fits(job, it) }.coerceAtMost(job.pendingTasks)
            }
            val zone = counts.entries.firstOrNull { it.value >= job.pendingTasks }?.key
                ?: counts.keys.filter { it in markets }.minByOrNull {
                    price(job, markets.getValue(it)) *
                        (job.pendingTasks - counts.getValue(it))
                }
            if (zone == null) return
            var left = job.pendingTasks - take(job, job.pendingTasks, byZone[zone].orEmpty())
            if (left == 0) return
            val market = markets.getValue(zone).minBy { price(job, listOf(it)) }
            while (left > 0) left -= rent(market, job.spec, left)
        }

        private fun price(job: WaitingJob, markets: List<Market>) = markets.minOf {
            perTask(s, job.spec, it, job.pendingTasks)
        }

        private fun rent(market: Market, spec: JobSpec, wanted: Int): Int {
            val type = s.types.getValue(market.type)
            val fits = minOf(wanted, spec.need.countFittingIn(type.capacity))
            rents.merge(market, 1, Int::plus)
            rented++
            future += FutureCapacity(market, type, type.capacity - spec.need * fits)
            return fits
        }

        private fun fitting(job: WaitingJob) = future.filter {
            PlacementRules.allows(job.spec, it.market.type, it.market.zone, it.market.spot) &&
                job.spec.need.fitsIn(it.most)
        }

        private fun fits(job: WaitingJob, c: FutureCapacity) =
            job.spec.need.countFittingIn(c.within(horizon(job, c.type, s.now)))

        private fun take(job: WaitingJob, wanted: Int, group: List<FutureCapacity>): Int {
            var left = wanted
            for (c in group) {
                if (left == 0) break
                val count = minOf(left, fits(job, c))
                if (count > 0) c.take(job.spec.need * count)
                left -= count
            }
            return wanted - left
        }

        /**
         * Urgent work that had to go to a machine with GPUs keeps that machine from going back. A plain machine is
         * rented for the work that will come after it, unless one has room.
         */
        private fun relieve(spec: JobSpec) {
            val room = future.firstOrNull {
                it.type.capacity.gpus == 0.0 && spec.need.fitsIn(it.within(it.type.bootTime)) &&
                    PlacementRules.allows(spec, it.market.type, it.market.zone, it.market.spot)
            }
            if (room != null) return room.take(spec.need)
            relief(spec)?.let { rent(it, spec, 1) }
        }

        private fun relief(spec: JobSpec): Market? = markets(s, spec)
            .filter { it !in refused && s.types.getValue(it.type).capacity.gpus == 0.0 }
            .minByOrNull { s.types.getValue(it.type).price(it.spot) }
    }

    /**
     * Machines that have had nothing to do for as long as one of their price is kept, and no room to keep for replicas.
     */
    fun planReturns(s: Snapshot, reserved: Set<String>): List<String> = s.machines.filter { m ->
        val times = (s.highestPrice / m.type.price(m.market.spot)).coerceIn(1.0, MOST_KEEPS)
        m.up && m.host !in reserved && m.idleFor != null && m.idleFor >= keep * times
    }.map { it.host }

    /** The market with the cheapest room per task. */
    private fun choose(
        s: Snapshot,
        job: WaitingJob,
        left: Int,
        refused: Set<Market>,
        open: (Market) -> Boolean,
    ): Market? = affordable(s, job, refused).filter(open).minByOrNull { perTask(s, job.spec, it, left) }

    /** Spot below the bid; steady machines for urgent jobs only. */
    private fun affordable(s: Snapshot, job: WaitingJob, refused: Set<Market>): List<Market> {
        val urgent = slack.slack(job, s.now) == Duration.ZERO
        return markets(s, job.spec).filter { m ->
            val type = s.types.getValue(m.type)
            m !in refused && if (m.spot) type.spotPrice < bids.bid(m.type, type.spotPrice, urgent, s.now) else urgent
        }
    }

    private fun perTask(s: Snapshot, spec: JobSpec, market: Market, tasks: Int): Double {
        val type = s.types.getValue(market.type)
        return type.price(market.spot) / minOf(tasks, spec.need.countFittingIn(type.capacity))
    }

    private fun markets(s: Snapshot, spec: JobSpec): List<Market> = s.types.values
        .filter { spec.need.fitsIn(it.capacity) }
        .flatMap { type ->
            type.zones.flatMap { zone -> listOf(Market(type.name, zone, true), Market(type.name, zone, false)) }
        }
        .filter { PlacementRules.allows(spec, it.type, it.zone, it.spot) }

    private companion object {
        /** Cheap machines are kept this many times as long as the dearest: warm room costs little there. */
        const val MOST_KEEPS = 4.0
    }
}
