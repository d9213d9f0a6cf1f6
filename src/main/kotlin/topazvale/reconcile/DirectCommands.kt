package topazvale.reconcile

import kotlinx.coroutines.delay
import topazvale.config.Settings
import topazvale.model.Clocks
import topazvale.model.Order
import topazvale.model.Report
import topazvale.net.Sockets
import topazvale.store.RecordWriter
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sends orders to workers without waiting for their next report.
 *
 * A direct command that gets no answer may be carried out minutes later, as long as token and session stand. Its
 * starts are marked as unsettled before it leaves and stay so until an answer settles it.
 */
class DirectCommands(
    private val context: TermContext,
    private val records: RecordWriter,
    private val cluster: ClusterState,
    private val reports: ReportProcessor,
    private val knowsCancellations: () -> Boolean,
) {
    private val settings = context.settings
    private val token = context.term.token
    private val busy = HashSet<String>()

    /** Machines for which there may be something to say: to look at all of them for each change takes too long. */
    private val due = LinkedHashSet<ManagedMachine>()

    /**
     * A former leader may go on answering workers until they see our token, for [formerLeaderWindow] at most. Those
     * that do not come by themselves are told, and told again: a message may get lost, or find no socket free.
     */
    suspend fun propagateToken(formerLeaderWindow: Duration) {
        val until = context.clocks.mark() + formerLeaderWindow
        delay(settings.workers.reportInterval)
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
    private fun heldByOthers(machine: ManagedMachine): Boolean {
        val mayKnowOther = machine.token < token && !machine.rentedInThisTerm && !machine.returning
        return mayKnowOther && machine.endpoint.isNotEmpty() && machine.host !in busy
    }

    /** There may be something to say to the machine. */
    fun enqueue(machine: ManagedMachine) {
        due += machine
    }

    /** Sends what is due and on record. */
    fun deliver() {
        due.removeAll { machine ->
            if (machine.host in busy) return@removeAll false
            if (!reached(machine)) return@removeAll true
            val complete = machine.placements.values.all { it.mayBeSent(records) }
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
    private fun reached(machine: ManagedMachine): Boolean {
        if (cluster.machines[machine.host] !== machine || !machine.responseDelivery.isConfirmed) return false
        val reported = machine.lastAnsweredReportAt ?: return false
        return reported.elapsedNow() < settings.workers.reportInterval * MachineSnapshots.MAX_MISSED_REPORTS
    }

    private fun orders(machine: ManagedMachine): List<Order> = machine.placements.values.mapNotNull { placed ->
        val grace = placed.stopGracePeriod
        val fresh = placed.state == null && !placed.startSent && !placed.isInherited
        when {
            !placed.mayBeSent(records) || placed.session != machine.session -> null
            grace != null -> if (placed.stopSent) null else Order.Stop(placed.start, grace)
            fresh && knowsCancellations() -> Order.Run(placed.start)
            else -> null
        }
    }

    /** False where no socket is free for it. */
    private fun send(machine: ManagedMachine, orders: List<Order>): Boolean {
        if (busy.size >= settings.maxConnections / SOCKETS_PART || !context.sockets.hasSpare) return false
        val runs = orders.filterIsInstance<Order.Run>().mapNotNull { machine.placements[it.start] }
        val settledByAnswer = runs.filter { !it.inDoubt }
        for (placed in runs) {
            placed.startSent = true
            placed.inDoubt = true
        }
        for (order in orders) if (order is Order.Stop) machine.placements[order.start]?.stopSent = true
        busy += machine.host
        val session = machine.session
        context.launch("direct command") {
            try {
                val report = context.services.workers.command(machine.endpoint, token, session, orders)
                if (report != null) answered(machine, report, settledByAnswer)
            } finally {
                busy -= machine.host
            }
        }
        return true
    }

    private fun answered(machine: ManagedMachine, report: Report, settled: List<PlacedTask>) {
        settled.forEach { it.inDoubt = false }
        if (cluster.machines[machine.host] === machine &&
            reports.applyReport(report, ReportSource.DIRECT)
        ) {
            context.requestPlan()
        }
    }

    private companion object {
        /**
         * Workers hold connections to us already: direct commands get a part of the sockets, or wait for the report.
         */
        const val SOCKETS_PART = 8
        val RAISE_EVERY = 4.milliseconds
        val RAISE_AGAIN = 2.seconds
    }
}
