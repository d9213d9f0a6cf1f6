package topazvale.scheduler

import topazvale.model.JobSpec
import topazvale.model.MachineType
import topazvale.model.Market
import topazvale.model.Resources
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Decides what to rent and what to return. */
class Provisioner(private val slack: SlackPolicy, private val bids: BidStrategy, private val keep: Duration) {
    /** Rents for what could not be placed and will not fit into room that is soon there. */
    fun rents(s: Snapshot, unplaced: List<WaitingJob>, refused: Set<Market>, mostPerRent: Int): List<Rent> {
        val coming = s.machines.map { comingRoom(it) }.toMutableList()
        val rents = LinkedHashMap<Market, Int>()
        for (job in unplaced) {
            var left = job.pending
            left -= takeComing(job, left, coming, s.now)
            while (left > 0) {
                val market = choose(s, job, left, refused) ?: break
                val type = s.types.getValue(market.type)
                // Tasks that belong in one zone come from one market.
                val tasks = if (job.spec.oneZone) left else minOf(left, job.spec.need.timesIn(type.room))
                var unhoused = tasks
                while (unhoused > 0) {
                    val fits = minOf(unhoused, job.spec.need.timesIn(type.room))
                    rents.merge(market, 1, Int::plus)
                    coming += Coming(market, type, type.room - job.spec.need * fits, emptyList())
                    unhoused -= fits
                }
                left -= tasks
                if (rents.values.sum() >= mostPerRent) return rents.map { Rent(it.key, it.value) }
            }
        }
        for (spec in s.misplaced) {
            if (rents.values.sum() >= mostPerRent) break
            val market = relief(s, spec, coming, refused) ?: continue
            rents.merge(market, 1, Int::plus)
            val type = s.types.getValue(market.type)
            coming += Coming(market, type, type.room - spec.need, emptyList())
        }
        return rents.map { Rent(it.key, it.value) }
    }

    /**
     * Urgent work that had to go to a machine with GPUs keeps that machine from going back. A plain machine is rented
     * for the work that will come after it, unless one has room.
     */
    private fun relief(s: Snapshot, spec: JobSpec, coming: List<Coming>, refused: Set<Market>): Market? {
        val room = coming.firstOrNull {
            it.type.room.gpus == 0.0 && spec.need.fitsIn(it.within(it.type.boot)) &&
                Placement.allows(spec, it.market.type, it.market.zone, it.market.spot)
        }
        if (room != null) {
            room.free -= spec.need
            return null
        }
        return markets(s, spec)
            .filter { it !in refused && s.types.getValue(it.type).room.gpus == 0.0 }
            .minByOrNull { s.types.getValue(it.type).price(it.spot) }
    }

    /** Machines that have had nothing to do for as long as one of their price is kept. */
    fun returns(s: Snapshot): List<String> {
        val dearest = s.types.values.maxOfOrNull { it.price } ?: return emptyList()
        return s.machines.filter { m ->
            val times = (dearest / m.type.price(m.market.spot)).coerceIn(1.0, MOST_KEEPS)
            m.up && m.idleFor != null && m.idleFor >= keep * times
        }.map { it.host }
    }

    /** Room that is there or will be: [free] now or after a boot, more as tasks end. */
    private class Coming(val market: Market, val type: MachineType, var free: Resources, val endings: List<Ending>) {
        fun within(horizon: Duration) = endings.filter { it.within <= horizon }.fold(free) { sum, e -> sum + e.need }
    }

    private fun comingRoom(m: MachineState) = Coming(m.market, m.type, m.free, if (m.up) m.endings else emptyList())

    /**
     * How soon a machine must become free to be waited for: as soon as a new one could be up, and later where the
     * deadline leaves time, the estimate being trusted by half.
     */
    private fun horizon(job: WaitingJob, type: MachineType, now: Instant): Duration {
        val deadline = job.deadline ?: return type.boot
        val fetch = (job.spec.imageGb / type.fetchGbPerS).seconds
        return maxOf(type.boot, deadline - now - job.estimate * 2 - fetch)
    }

    private fun takeComing(job: WaitingJob, wanted: Int, coming: List<Coming>, now: Instant): Int {
        val spec = job.spec
        fun fits(c: Coming) = spec.need.timesIn(c.within(horizon(job, c.type, now)))
        val fitting = coming.filter { Placement.allows(spec, it.market.type, it.market.zone, it.market.spot) }
        val groups = if (!spec.oneZone) listOf(fitting) else fitting.groupBy { it.market.zone }.values.toList()
        for (group in groups.sortedByDescending { g -> g.sumOf(::fits) }) {
            val total = group.sumOf(::fits)
            if (total == 0 || (spec.isGang && total < wanted)) continue
            var left = wanted
            for (c in group) {
                val count = minOf(left, fits(c))
                c.free -= spec.need * count
                left -= count
            }
            return wanted - left
        }
        return 0
    }

    /** The market with the cheapest room per task, within the bid where the price is spot. */
    private fun choose(s: Snapshot, job: WaitingJob, left: Int, refused: Set<Market>): Market? {
        val urgent = slack.slack(job, s.now) == Duration.ZERO
        return markets(s, job.spec)
            .filter { it !in refused }
            .filter { m ->
                val type = s.types.getValue(m.type)
                if (m.spot) type.spotPrice < bids.bid(m.type, type.spotPrice, urgent, s.now) else urgent
            }
            .minByOrNull { m ->
                val type = s.types.getValue(m.type)
                type.price(m.spot) / minOf(left, job.spec.need.timesIn(type.room))
            }
    }

    private fun markets(s: Snapshot, spec: JobSpec): List<Market> = s.types.values
        .filter { spec.need.fitsIn(it.room) }
        .flatMap { type -> type.zones.flatMap { zone -> listOf(Market(type.name, zone, true), Market(type.name, zone, false)) } }
        .filter { Placement.allows(spec, it.type, it.zone, it.spot) }

    private companion object {
        /** Cheap machines are kept this many times as long as the dearest: warm room costs little there. */
        const val MOST_KEEPS = 4.0
    }
}
