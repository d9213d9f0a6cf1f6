package topazvale.scheduler

import topazvale.model.Market
import kotlin.time.Duration

/** Decides which machines to rent and which to return. */
class Provisioner(
    private val slackPolicy: SlackPolicy,
    private val bidStrategy: BidStrategy,
    private val idleTimeout: Duration,
) {
    /** Plans rentals of at most [maxMachines] machines. Skips [refused] markets, which had no capacity lately. */
    fun planRentals(
        snapshot: Snapshot,
        placementPlan: PlacementPlan,
        refused: Set<Market>,
        maxMachines: Int,
    ): List<RentalRequest> {
        val markets = MarketSelection(snapshot, slackPolicy, bidStrategy, refused)
        return RentalPlanning(snapshot, placementPlan, markets, maxMachines).buildRequests()
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

    private companion object {
        /**
         * The idle timeout of cheap machines is at most this many times that of the most expensive one: idle capacity
         * costs little there.
         */
        const val MAX_IDLE_TIMEOUT_FACTOR = 4.0
    }
}
