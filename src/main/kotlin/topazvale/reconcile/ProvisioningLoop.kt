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
 * Rents and returns machines as planned, and keeps prices and the machine list up to date. One call to the cloud at a
 * time; renting and returning are not fenced by the token, so that each is asked for only while the lease is certain.
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
    private val listInterval = maxOf(settings.cloudLimits.listLag, LEAST_LIST_INTERVAL)
    private val refusedUntil = HashMap<Market, ComparableTimeMark>()
    private var wanted: List<RentalRequest> = emptyList()
    private var bookings = 0L
    private var listedAt: ComparableTimeMark? = null
    private var pricedAt: ComparableTimeMark? = null
    private var renting = false

    /** Machines rented together are one record, however few images it has space for. */
    private val mostPerCall = MachineGroup.maxMachines(settings.stateLimits.valueBytes).coerceAtMost(MOST_PER_CALL)
    private val workRequests = Channel<Unit>(Channel.CONFLATED)

    /** False while rents are on their way: what is worked out then does not know of them yet. */
    val acceptsRequests: Boolean get() = !renting && wanted.isEmpty() && listedAt != null

    /** Hands over what the last plan wants to rent. */
    fun submit(rents: List<RentalRequest>) {
        wanted = rents
        if (rents.isNotEmpty() || cluster.machines.values.any { it.returning }) workRequests.trySend(Unit)
    }

    /** Markets that had no capacity a moment ago. */
    fun refused(): Set<Market> = refusedUntil.filterValues { it.hasNotPassedNow() }.keys

    /** Runs until the scope of the term ends. */
    suspend fun run() {
        while (true) {
            if (isDue(pricedAt, PRICE_INTERVAL)) updatePrices()
            if (isDue(listedAt, listInterval)) updateList()
            rentWanted()
            if (term.holdsLease) release()
            withTimeoutOrNull(PAUSE) { workRequests.receive() }
        }
    }

    private fun isDue(last: ComparableTimeMark?, interval: Duration) = last == null || last.elapsedNow() > interval

    private suspend fun updatePrices() {
        val types = cloud.listMachineTypes() ?: return delay(PAUSE)
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

    private suspend fun rentWanted() {
        val rents = wanted
        renting = rents.isNotEmpty()
        wanted = emptyList()
        for (rent in rents) {
            for (count in callSizes(rent.count)) {
                if (term.holdsLease && rent.market !in refused()) rent(rent.copy(count = count))
            }
        }
        renting = false
        if (rents.isNotEmpty()) context.requestPlan()
    }

    private fun callSizes(count: Int): List<Int> =
        (List(count / mostPerCall) { mostPerCall } + count % mostPerCall).filter { it > 0 }

    private suspend fun rent(rent: RentalRequest) {
        // Names are never used twice: the token is this term's own.
        val booking = "r-${term.token}-${++bookings}"
        repeat(RENT_ATTEMPTS) {
            if (!term.holdsLease) return
            val rental = cloud.rent(booking, rent.market, rent.count, term::holdsLease)
            if (rental is RentalOutcome.Rented) rented(booking, rent, rental.hosts)
            if (rental is RentalOutcome.NoCapacity) refuse(rent.market)
            // Without an answer the same name is asked for again; machines rented all the same show up in the list.
            if (rental !is RentalOutcome.Unknown) return
            delay(PAUSE)
        }
    }

    private fun rented(booking: String, rent: RentalRequest, hosts: List<String>) {
        decisions.rented(booking, rent.market, rent.count, hosts, term.lastRenewedAt.elapsedNow())
        cluster.addMachines(booking, rent.market, clocks.now(), hosts, rentedInThisTerm = true)
        if (hosts.size < rent.count) refuse(rent.market)
    }

    private fun refuse(market: Market) {
        refusedUntil[market] = clocks.mark() + settings.tuning.marketCooldown
    }

    private suspend fun release() {
        val returning = cluster.machines.values.filter { it.returning }
        val hosts = returning.map { it.host }
        if (hosts.isEmpty() || !cloud.returnMachines(hosts, term::holdsLease)) return
        decisions.returned(hosts, term.lastRenewedAt.elapsedNow())
        returning.forEach(cluster::removeReturned)
        refusedUntil -= returning.map { it.market }.toSet()
        context.requestPlan()
    }

    private companion object {
        /** The protocol's limit of a rental request. */
        const val MOST_PER_CALL = 50
        const val RENT_ATTEMPTS = 4
        val LEAST_LIST_INTERVAL = 5.seconds
        val PRICE_INTERVAL = 20.seconds
        val PAUSE = 1.seconds
    }
}
