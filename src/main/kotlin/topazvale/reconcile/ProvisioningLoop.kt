package topazvale.reconcile

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import topazvale.cloud.RentalOutcome
import topazvale.model.Market
import topazvale.scheduler.BidStrategy
import topazvale.scheduler.RentalRequest
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Rents and returns machines as planned, and refreshes prices and the machine list. It makes one call to the cloud at a
 * time. The token does not fence rentals and returns, so each of them is requested only while the leader holds its
 * lease.
 */
internal class ProvisioningLoop(
    private val context: TermContext,
    private val cluster: ClusterState,
    private val bids: BidStrategy,
) {
    private val settings = context.settings
    private val term = context.term
    private val decisions = ProvisioningLog(term.token)
    private val cloud = context.services.cloud
    private val clocks = context.clocks
    private val inventory = MachineInventory(settings, cluster, clocks, decisions)
    private val listInterval = maxOf(settings.cloudLimits.listLag, MIN_LIST_INTERVAL)
    private val cooldowns = HashMap<Market, ComparableTimeMark>()
    private var submitted: List<RentalRequest> = emptyList()
    private var bookings = 0L
    private var listedAt: ComparableTimeMark? = null
    private var pricedAt: ComparableTimeMark? = null
    private var renting = false

    /** Machines rented together share one record, which has to hold them all even if it has no space for images. */
    private val maxPerCall = MachineGroup.maxMachines(settings.stateLimits.valueBytes).coerceAtMost(MAX_PER_REQUEST)
    private val workRequests = Channel<Unit>(Channel.CONFLATED)

    /**
     * Whether rental requests may be submitted. False before the first machine list, and while rentals are in progress:
     * a snapshot taken then does not contain the machines that they bring.
     */
    val acceptsRequests: Boolean get() = !renting && submitted.isEmpty() && listedAt != null

    /** Submits the rental requests of a plan, which replace those not yet carried out. */
    fun submit(requests: List<RentalRequest>) {
        submitted = requests
        if (requests.isNotEmpty() || cluster.machines.values.any { it.returning }) workRequests.trySend(Unit)
    }

    /** Markets that recently had no capacity, and are still in their cooldown. */
    fun marketsInCooldown(): Set<Market> = cooldowns.filterValues { it.hasNotPassedNow() }.keys

    /** Runs until the scope of the term ends. */
    suspend fun run() {
        while (true) {
            if (isDue(pricedAt, PRICE_INTERVAL)) updatePrices()
            if (isDue(listedAt, listInterval)) updateList()
            rentSubmitted()
            if (term.holdsLease) returnMachines()
            withTimeoutOrNull(RETRY_INTERVAL) { workRequests.receive() }
        }
    }

    private fun isDue(last: ComparableTimeMark?, interval: Duration) = last == null || last.elapsedNow() > interval

    private suspend fun updatePrices() {
        val types = cloud.listMachineTypes() ?: return delay(RETRY_INTERVAL)
        pricedAt = clocks.mark()
        cluster.types = types.associateBy { it.name }
        val now = clocks.now()
        for (type in types) bids.recordPrice(type.name, type.spotPrice, now)
        context.requestPlan()
    }

    private suspend fun updateList() {
        val machines = cloud.listMachines() ?: return
        listedAt = clocks.mark()
        inventory.update(machines)
    }

    private suspend fun rentSubmitted() {
        val requests = submitted
        renting = requests.isNotEmpty()
        submitted = emptyList()
        for (request in requests) {
            for (count in callSizes(request.count)) {
                if (term.holdsLease && request.market !in marketsInCooldown()) rent(request.copy(count = count))
            }
        }
        renting = false
        if (requests.isNotEmpty()) context.requestPlan()
    }

    private fun callSizes(count: Int): List<Int> =
        (List(count / maxPerCall) { maxPerCall } + count % maxPerCall).filter { it > 0 }

    private suspend fun rent(request: RentalRequest) {
        // The name of a booking is never reused: it contains the token, which is unique to this term.
        val booking = "r-${term.token}-${++bookings}"
        repeat(RENT_ATTEMPTS) {
            if (!term.holdsLease) return
            val outcome = cloud.rent(booking, request.market, request.count, term::holdsLease)
            if (outcome is RentalOutcome.Rented) addRented(booking, request, outcome.hosts)
            if (outcome is RentalOutcome.NoCapacity) startCooldown(request.market)
            // Without a response the request is repeated under the same name. Machines that were rented all the same
            // appear in the machine list.
            if (outcome !is RentalOutcome.Unknown) return
            delay(RETRY_INTERVAL)
        }
    }

    private fun addRented(booking: String, request: RentalRequest, hosts: List<String>) {
        decisions.rented(booking, request.market, request.count, hosts, term.lastRenewedAt.elapsedNow())
        cluster.addMachines(booking, request.market, clocks.now(), hosts, rentedInThisTerm = true)
        if (hosts.size < request.count) startCooldown(request.market)
    }

    private fun startCooldown(market: Market) {
        cooldowns[market] = clocks.mark() + settings.tuning.marketCooldown
    }

    private suspend fun returnMachines() {
        val returning = cluster.machines.values.filter { it.returning }
        val hosts = returning.map { it.host }
        if (hosts.isEmpty() || !cloud.returnMachines(hosts, term::holdsLease)) return
        decisions.returned(hosts, term.lastRenewedAt.elapsedNow())
        returning.forEach(cluster::removeReturned)
        cooldowns -= returning.map { it.market }.toSet()
        context.requestPlan()
    }

    private companion object {
        /** The most machines that the cloud's protocol allows in one rental request. */
        const val MAX_PER_REQUEST = 50
        const val RENT_ATTEMPTS = 4
        val MIN_LIST_INTERVAL = 5.seconds
        val PRICE_INTERVAL = 20.seconds

        /** The delay before a failed call is repeated, and the longest wait for new requests. */
        val RETRY_INTERVAL = 1.seconds
    }
}
