package topazvale.scheduler

import topazvale.model.JobSpec
import topazvale.model.Market
import kotlin.time.Duration

/**
 * Chooses the markets in which machines may be rented for a job, by the slack-gated bids and by price. Skips the
 * [refused] markets, which had no capacity a short time ago.
 */
internal class MarketSelection(
    private val snapshot: Snapshot,
    private val slackPolicy: SlackPolicy,
    private val bidStrategy: BidStrategy,
    private val refused: Set<Market>,
) {
    /** Spot markets with a price below the bid; on-demand markets only for jobs without slack. */
    fun affordable(job: WaitingJob): List<Market> {
        val urgent = slackPolicy.slack(job, snapshot.now) == Duration.ZERO
        return allowed(job.spec).filter { if (it.spot) isBelowBid(it, urgent) else urgent }
    }

    private fun isBelowBid(market: Market, urgent: Boolean): Boolean {
        val price = snapshot.types.getValue(market.type).spotPrice
        return price < bidStrategy.bid(market.type, price, urgent, snapshot.now)
    }

    /** The affordable market among those that [isAllowed] with the lowest price per task; null if there is none. */
    fun cheapest(job: WaitingJob, tasks: Int, isAllowed: (Market) -> Boolean): Market? =
        affordable(job).filter(isAllowed).minByOrNull { pricePerTask(job.spec, it, tasks) }

    /** The cheapest market of machines without GPUs, whatever the bids; null if there is none. */
    fun cheapestWithoutGpus(spec: JobSpec): Market? = allowed(spec)
        .filter { snapshot.types.getValue(it.type).capacity.gpus == 0.0 }
        .minByOrNull { snapshot.types.getValue(it.type).price(it.spot) }

    /** The price per hour of a machine in the market, divided by how many of [tasks] tasks fit into it. */
    fun pricePerTask(spec: JobSpec, market: Market, tasks: Int): Double {
        val type = snapshot.types.getValue(market.type)
        return type.price(market.spot) / minOf(tasks, spec.need.countFittingIn(type.capacity))
    }

    private fun allowed(spec: JobSpec): List<Market> = snapshot.types.values
        .filter { spec.need.fitsIn(it.capacity) }
        .flatMap { type ->
            type.zones.flatMap { zone -> listOf(Market(type.name, zone, true), Market(type.name, zone, false)) }
        }
        .filter { it !in refused && PlacementRules.allows(spec, it.type, it.zone, it.spot) }
}
