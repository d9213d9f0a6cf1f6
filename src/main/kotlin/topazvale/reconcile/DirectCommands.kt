package topazvale.reconcile

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import topazvale.config.Settings
import topazvale.model.Clocks
import topazvale.model.Order
import topazvale.net.Sockets
import topazvale.store.RecordWriter
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sends orders to workers without waiting for their next report.
 *
 * A straight order that gets no answer may be carried out minutes later, as long as token and session stand. Its
 * starts are marked as loose before it leaves and stay so until an answer settles it.
 */
class DirectCommands(
    private val settings: Settings,
    private val token: Long,
    private val records: RecordWriter,
    private val cluster: ClusterState,
    private val reports: ReportProcessor,
    private val workers: WorkerClient,
    private val sockets: Sockets,
    private val scope: CoroutineScope,
    private val clocks: Clocks,
    private val knowsCancellations: () -> Boolean,
    private val wake: () -> Unit,
) {
    private val busy = HashSet<String>()

    /** Machines for which there may be something to say: to look at all of them for each change takes too long. */
    private val due = LinkedHashSet<ManagedMachine>()

    /**
     * A former leader may go on answering workers until they see our token, for [holdover] at most. Those that do not
     * come by themselves are told, and told again: a word may get lost, or find no socket free.
     */
    suspend fun raiseTokens(holdover: Duration) {
        val until = clocks.mark() + holdover
        delay(settings.workers.report)
        while (until.hasNotPassedNow()) {
            for (machine in cluster.machines.values.toList()) {
                if (!heldByOthers(machine)) continue
                send(machine, emptyList())
                delay(RAISE_EVERY)
            }
            delay(RAISE_AGAIN)
        }
    }

    /** What the cloud gave to this leader has known no other. */
    private fun heldByOthers(machine: ManagedMachine) = machine.token < token && !machine.ours && !machine.returning &&
        machine.endpoint.isNotEmpty() && machine.host !in busy

    fun due(machine: ManagedMachine) {
        due += machine
    }

    fun deliver() {
        due.removeAll { machine ->
            if (machine.host in busy) return@removeAll false
            if (!reached(machine)) return@removeAll true
            val complete = machine.placed.values.all { it.isRecorded(records) }
            val orders = orders(machine)
            when {
                orders.isEmpty() -> complete

                // Starts leave together; a stop waits for nothing.
                complete || orders.any { it is Order.Stop } -> send(machine, orders) && complete

                else -> false
            }
        }
    }

    /** Others learn their orders from the answer to their next report, if there is one. */
    private fun reached(machine: ManagedMachine) = cluster.machines[machine.host] === machine && machine.responses.good &&
        machine.heard?.let { it.elapsedNow() < settings.workers.report * SnapshotBuilder.REPORTS_MISSED } == true

    private fun orders(machine: ManagedMachine): List<Order> = machine.placed.values.mapNotNull { p ->
        val stop = p.stop
        when {
            !p.isRecorded(records) || p.session != machine.session -> null
            stop != null -> if (!p.stopSent) Order.Stop(p.start, stop) else null
            p.state == null && !p.sent && !p.inherited -> if (knowsCancellations()) Order.Run(p.start) else null
            else -> null
        }
    }

    private fun send(machine: ManagedMachine, orders: List<Order>): Boolean {
        if (busy.size >= settings.maxConnections / SOCKETS_PART || !sockets.spare) return false
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
                    if (cluster.machines[machine.host] === machine && reports.take(report, direct = true)) wake()
                }
            } finally {
                busy -= machine.host
            }
        }
        return true
    }

    private companion object {
        /** Workers hold connections to us already: straight orders get a part of the sockets, or wait for the report. */
        const val SOCKETS_PART = 8
        val RAISE_EVERY = 4.milliseconds
        val RAISE_AGAIN = 2.seconds
    }
}
