package topazvale.reconcile

import kotlinx.coroutines.delay
import topazvale.config.Settings
import topazvale.model.Clocks
import topazvale.model.DirectCommand
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
 * A direct command may be carried out minutes later, and once more after it was answered, as long as neither the token
 * nor the session is superseded. Its starts are therefore marked as in doubt before it is sent, until a response
 * resolves it, and the worker must not forget them under the same token ([CommandToken]).
 */
class DirectCommands(
    private val context: TermContext,
    private val records: RecordWriter,
    private val cluster: ClusterState,
    private val reports: ReportProcessor,
    private val areCancellationsCurrent: () -> Boolean,
) {
    private val settings = context.settings
    private val token = context.term.token
    private val admissionLog = AdmissionLog(token)

    /** How many machines have a command in flight; each has at most one. */
    private var inFlight = 0

    /** Machines that may have orders to send: checking all machines after each change takes too long. */
    private val queue = LinkedHashSet<ManagedMachine>()

    /**
     * Sends this leader's token to the workers that a former leader may still answer, which it may do for up to
     * [formerLeaderWindow] or until they see a higher token. Workers that do not report by themselves get a command
     * without orders, repeated because a message may get lost or find no free socket.
     */
    suspend fun propagateToken(formerLeaderWindow: Duration) {
        val deadline = context.clocks.mark() + formerLeaderWindow
        delay(settings.workers.reportInterval)
        while (deadline.hasNotPassedNow()) {
            for (machine in cluster.machines.values.toList()) {
                if (!mayFollowFormerLeader(machine)) continue
                send(machine, emptyList())
                delay(PROPAGATION_INTERVAL)
            }
            delay(PROPAGATION_PAUSE)
        }
    }

    /** Whether a former leader may still answer the worker; a machine rented in this term has had no other leader. */
    private fun mayFollowFormerLeader(machine: ManagedMachine): Boolean {
        val mayHaveFormerLeader = machine.token < token && !machine.rentedInThisTerm && !machine.returning
        return mayHaveFormerLeader && machine.endpoint.isNotEmpty() && !machine.hasCommandInFlight
    }

    /** Queues the machine, which may have orders to send. */
    fun enqueue(machine: ManagedMachine) {
        queue += machine
    }

    /** Sends the orders of queued machines, as far as their records are durable. */
    fun sendQueued() {
        queue.removeAll { machine ->
            if (machine.hasCommandInFlight) return@removeAll false
            if (!isReachable(machine)) return@removeAll true
            val allRecorded = machine.placements.values.all { it.mayBeSent(records) }
            val orders = orders(machine)
            when {
                orders.isEmpty() -> allRecorded

                // The starts of a machine are sent together; a stop is sent at once.
                allRecorded || orders.any { it is Order.Stop } -> send(machine, orders) && allRecorded

                else -> false
            }
        }
    }

    /** Whether the worker is likely to get a command; any other gets its orders in the response to its next report. */
    private fun isReachable(machine: ManagedMachine): Boolean {
        if (cluster.machines[machine.host] !== machine || !machine.responseDelivery.isConfirmed) return false
        val lastReport = machine.lastAnsweredReportAt ?: return false
        return lastReport.elapsedNow() < settings.workers.reportInterval * MachineSnapshots.MAX_MISSED_REPORTS
    }

    private fun orders(machine: ManagedMachine): List<Order> = machine.placements.values.mapNotNull { placed ->
        val stop = placed.stopRequest
        val isUnsent = !placed.startSent || placed.isDirectStartRefused
        val mayStart = placed.state == null && isUnsent && !placed.isInherited
        when {
            !placed.mayBeSent(records) || placed.session != machine.session -> null
            stop != null -> placed.stopOrder?.takeIf { stop.supersedes(placed.directlySentStop) }
            mayStart && areCancellationsCurrent() && cluster.admission.mayBeSent(placed) -> Order.Run(placed.start)
            else -> null
        }
    }

    /** Sends a command in the background; false if no socket is free for it. */
    private fun send(machine: ManagedMachine, orders: List<Order>): Boolean {
        if (inFlight >= settings.maxConnections / SOCKETS_DIVISOR || !context.sockets.hasSpare) return false
        val command = DirectCommand(machine.commandToken.current, machine.session, orders)
        val starting = orders.filterIsInstance<Order.Run>().mapNotNull { machine.placements[it.start] }
        val resolvedByResponse = starting.filter { !it.inDoubt }
        starting.forEach { recordDirectStart(it, command.token) }
        for (stop in orders.filterIsInstance<Order.Stop>()) {
            machine.placements[stop.start]?.let { it.directlySentStop = it.stopRequest }
        }
        if (orders.isNotEmpty()) admissionLog.commandSent(machine, orders)
        setInFlight(machine, true)
        context.launch("direct command") {
            try {
                val response = context.services.workers.command(machine.endpoint, command)
                if (response != null) {
                    resolvedByResponse.forEach(PlacedTask::recordDirectResponse)
                    applyResponse(machine, response, orders)
                }
            } finally {
                setInFlight(machine, false)
            }
        }
        return true
    }

    private fun recordDirectStart(placed: PlacedTask, token: Long) {
        placed.recordDirectStart(token)
        placed.machine.commandToken.recordDirectStart()
        cluster.startHistory.sentDirectly(placed.start, token, placed.session)
    }

    private fun setInFlight(machine: ManagedMachine, isInFlight: Boolean) {
        machine.hasCommandInFlight = isInFlight
        inFlight += if (isInFlight) 1 else -1
    }

    private fun applyResponse(machine: ManagedMachine, response: CommandResponse, orders: List<Order>) {
        if (response.isAccepted) {
            orders.forEach { if (it is Order.Run) cluster.startHistory.answered(it.start) }
        } else {
            allowResending(machine, response.report, orders)
        }
        if (cluster.machines[machine.host] === machine &&
            reports.applyReport(response.report, ReportSource.DIRECT)
        ) {
            context.requestPlan()
        }
    }

    /** Queues the orders of a refused command again if it was refused only because this leader raised the token. */
    private fun allowResending(machine: ManagedMachine, report: Report, orders: List<Order>) {
        if (report.session != machine.session || report.token > cluster.tokens.highestIssued) return
        for (order in orders) {
            when (order) {
                is Order.Run -> machine.placements[order.start]?.isDirectStartRefused = true
                is Order.Stop -> machine.placements[order.start]?.directlySentStop = null
                is Order.Clear -> Unit
            }
        }
        enqueue(machine)
    }

    private companion object {
        /**
         * Direct commands use at most this fraction of the sockets, as workers already hold connections for their
         * reports. An order that finds no socket is sent in the response to the worker's next report.
         */
        const val SOCKETS_DIVISOR = 8

        /** Time between two workers, and between two rounds over all workers. */
        val PROPAGATION_INTERVAL = 4.milliseconds
        val PROPAGATION_PAUSE = 2.seconds
    }
}
