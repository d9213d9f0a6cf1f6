package topazvale.reconcile

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import topazvale.config.Settings
import topazvale.model.Order
import topazvale.store.Mirror
import kotlin.time.Duration.Companion.milliseconds

/**
 * Sends orders to workers without waiting for their next report.
 *
 * A straight order that gets no answer may be carried out minutes later, as long as token and session stand. Its
 * starts are marked as loose before it leaves and stay so until an answer settles it.
 */
class StraightOrders(
    private val settings: Settings,
    private val token: Long,
    private val mirror: Mirror,
    private val fleet: Fleet,
    private val reports: Reports,
    private val workers: WorkerClient,
    private val scope: CoroutineScope,
    private val wake: () -> Unit,
) {
    private val busy = HashSet<String>()

    /** Machines for which there may be something to say: to look at all of them for each change takes too long. */
    private val due = LinkedHashSet<Machine>()

    /** Workers hold connections to us already: straight orders get a part of the sockets, or wait for the report. */
    private val sockets = Semaphore(maxOf(1, settings.maxConnections / SOCKETS_PART))

    /**
     * A former leader may go on answering workers until they see our token. Those that do not come by themselves are
     * told.
     */
    suspend fun raiseTokens() {
        delay(settings.workers.report)
        for (machine in fleet.machines.values.toList()) {
            if (machine.token >= token || machine.returning || machine.endpoint.isEmpty()) continue
            sockets.withPermit { }
            send(machine, emptyList())
            delay(RAISE_EVERY)
        }
    }

    fun due(machine: Machine) {
        due += machine
    }

    fun deliver() {
        due.removeAll { machine ->
            when {
                machine.host in busy || machine.placed.values.any { it.ticket > mirror.durable } -> false
                !reached(machine) -> true
                else -> orders(machine).let { it.isEmpty() || send(machine, it) }
            }
        }
    }

    /** Others learn their orders from the answer to their next report, if there is one. */
    private fun reached(machine: Machine) = fleet.machines[machine.host] === machine && machine.hearing.good &&
        machine.heard?.let { it.elapsedNow() < settings.workers.report * Snapshots.REPORTS_MISSED } == true

    private fun orders(machine: Machine): List<Order> = machine.placed.values.mapNotNull { p ->
        val stop = p.stop
        when {
            p.ticket > mirror.durable || p.session != machine.session -> null
            stop != null -> if (!p.stopSent) Order.Stop(p.start, stop) else null
            p.state == null && !p.sent && !p.inherited -> Order.Run(p.start)
            else -> null
        }
    }

    private fun send(machine: Machine, orders: List<Order>): Boolean {
        if (!sockets.tryAcquire()) return false
        val runs = orders.filterIsInstance<Order.Run>().mapNotNull { machine.placed[it.start] }
        val settled = runs.filter { !it.loose }
        runs.forEach {
            it.sent = true
            it.loose = true
        }
        orders.forEach { if (it is Order.Stop) machine.placed[it.start]?.stopSent = true }
        busy += machine.host
        val session = machine.session
        scope.launch {
            try {
                val report = workers.command(machine.endpoint, token, session, orders)
                if (report != null) {
                    settled.forEach { it.loose = false }
                    if (fleet.machines[machine.host] === machine && reports.take(report, direct = true)) wake()
                }
            } finally {
                busy -= machine.host
                sockets.release()
            }
        }
        return true
    }

    private companion object {
        const val SOCKETS_PART = 8
        val RAISE_EVERY = 10.milliseconds
    }
}
