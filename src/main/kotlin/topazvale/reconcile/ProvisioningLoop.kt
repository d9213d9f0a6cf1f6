package topazvale.reconcile

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import topazvale.cloud.CloudService
import topazvale.cloud.Rental
import topazvale.config.Settings
import topazvale.leader.Term
import topazvale.model.Clocks
import topazvale.model.CloudStatus
import topazvale.model.ListedMachine
import topazvale.model.Market
import topazvale.scheduler.BidStrategy
import topazvale.scheduler.Rent
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.seconds

/** Rents and returns machines, and keeps the picture in line with the cloud's list and prices. */
class ProvisioningLoop(
    private val settings: Settings,
    private val term: Term,
    private val cluster: ClusterState,
    private val cloud: CloudService,
    private val bids: BidStrategy,
    private val clocks: Clocks,
    private val wake: () -> Unit,
) {
    private val log = LoggerFactory.getLogger(ProvisioningLoop::class.java)
    private val refusedUntil = HashMap<Market, ComparableTimeMark>()
    private val lag = settings.cloudLimits.listLag
    private val listEvery = maxOf(lag, LIST_AT_MOST)
    private var wanted: List<Rent> = emptyList()
    private var bookings = 0L
    private var listed: ComparableTimeMark? = null
    private var priced: ComparableTimeMark? = null
    private var renting = false

    /** Machines rented together are one record, however few images it has space for. */
    private val mostPerCall = MachineGroup.mostMachines(settings.stateLimits.valueBytes).coerceAtMost(MOST_PER_CALL)
    private val work = Channel<Unit>(Channel.CONFLATED)

    /** False while rents are on their way: what is worked out then does not know of them yet. */
    val open: Boolean get() = !renting && wanted.isEmpty() && listed != null

    fun want(rents: List<Rent>) {
        wanted = rents
        if (rents.isNotEmpty() || cluster.machines.values.any { it.returning }) work.trySend(Unit)
    }

    fun refused(): Set<Market> = refusedUntil.filterValues { !it.hasPassedNow() }.keys

    suspend fun run() {
        while (true) {
            if (priced?.let { it.elapsedNow() > PRICES_EVERY } != false) price()
            if (listed?.let { it.elapsedNow() > listEvery } != false) list()
            rentWanted()
            if (term.certain) release()
            withTimeoutOrNull(PAUSE) { work.receive() }
        }
    }

    private suspend fun rentWanted() {
        val rents = wanted
        renting = rents.isNotEmpty()
        wanted = emptyList()
        for (rent in rents) {
            for (count in List(rent.count / mostPerCall) { mostPerCall } + rent.count % mostPerCall) {
                if (count > 0 && term.certain && rent.market !in refused()) rent(rent.copy(count = count))
            }
        }
        renting = false
        if (rents.isNotEmpty()) wake()
    }

    private suspend fun price() {
        val types = cloud.types() ?: return delay(PAUSE)
        priced = clocks.mark()
        cluster.types = types.associateBy { it.name }
        val now = clocks.now()
        for (type in types) bids.seen(type.name, type.spotPrice, now)
        wake()
    }

    private suspend fun rent(rent: Rent) {
        // Names are never used twice: the token is this term's own.
        val name = "r-${term.token}-${++bookings}"
        for (attempt in 1..ASKED) {
            if (!term.certain) return
            when (val rental = cloud.rent(name, rent.market, rent.count, term::certain)) {
                is Rental.Rented -> {
                    log.info("rented {} of {} {}", rental.hosts.size, rent.count, rent.market)
                    cluster.add(name, rent.market, clocks.now(), rental.hosts, ours = true)
                    if (rental.hosts.size < rent.count) refuse(rent.market)
                    return
                }

                is Rental.NoCapacity -> {
                    refuse(rent.market)
                    return
                }

                is Rental.Refused -> return

                // Machines that were rented all the same will show up in the list.
                is Rental.Unknown -> delay(PAUSE)
            }
        }
    }

    private fun refuse(market: Market) {
        refusedUntil[market] = clocks.mark() + settings.tuning.refusedPause
    }

    private suspend fun release() {
        val back = cluster.machines.values.filter { it.returning }
        if (back.isEmpty() || !cloud.release(back.map { it.host }, term::certain)) return
        log.info("returned {}", back.map { it.host })
        back.forEach(cluster::forget)
        refusedUntil -= back.map { it.market }.toSet()
        wake()
    }

    private suspend fun list() {
        val machines = cloud.list() ?: return
        listed = clocks.mark()
        for (m in machines) if (!cluster.isReturned(m.host)) see(m)
        for (machine in cluster.machines.values) review(machine)
        returnUnreachable()
    }

    private fun see(m: ListedMachine) {
        if (m.host !in cluster.machines) {
            log.info("unexpected machine {}", m.host)
            cluster.add(m.host, m.market, clocks.now() - m.age, listOf(m.host), ours = false)
        }
        val machine = cluster.machines.getValue(m.host)
        if (machine.endpoint.isEmpty()) machine.endpoint = m.endpoint
        machine.listed = clocks.mark()
        if (m.status == CloudStatus.FAILED) machine.failed = true
    }

    /** Gives up machines that have failed, never came up, went silent for good, or are listed no more. */
    private fun review(machine: ManagedMachine) {
        val type = cluster.types[machine.market.type] ?: return
        val age = clocks.now() - machine.rented
        // A leader that may not answer hears its machines all the same: they are not to go back for its silence.
        val noticed = machine.noticed
        val silent = noticed == null || noticed.elapsedNow() > settings.workers.lease * SILENT_LEASES
        val neverUp = noticed == null && age > type.boot * SnapshotBuilder.BOOT_PATIENCE &&
            machine.met.elapsedNow() > settings.workers.lease * SILENT_LEASES
        val unlisted =
            silent && machine.met.elapsedNow() > lag * LAGS + LIST_AT_MOST && age > lag * LAGS + LIST_AT_MOST &&
                machine.listed.let { it == null || it.elapsedNow() > lag * LAGS + LIST_AT_MOST }
        val faulty = machine.faults >= SnapshotBuilder.FAULTS
        if (machine.failed || neverUp || unlisted || faulty || (noticed != null && silent)) machine.returning = true
    }

    /**
     * A machine that we hear and that does not hear us is of no use. Where many seem to be so, the fault is more
     * likely ours.
     */
    private fun returnUnreachable() {
        val hearsNoWorker = cluster.machines.values.filter { !it.returning && it.responses.undeliveredFor > settings.workers.lease }
        if (hearsNoWorker.size > cluster.machines.size * MOST_UNREACHABLE) return
        for (machine in hearsNoWorker) {
            log.info("machine {} does not hear us", machine.host)
            machine.returning = true
        }
    }

    private companion object {
        const val MOST_PER_CALL = 50
        const val MOST_UNREACHABLE = 0.25
        const val ASKED = 4
        const val LAGS = 3
        const val SILENT_LEASES = 1.5
        val LIST_AT_MOST = 5.seconds
        val PRICES_EVERY = 20.seconds
        val PAUSE = 1.seconds
    }
}
