package topazvale.reconcile

import topazvale.model.Order
import topazvale.model.Report
import topazvale.model.ReportedTask
import topazvale.model.Start
import topazvale.model.TaskState
import topazvale.store.RecordWriter

/** Computes the orders for the response to one report. */
internal class ReportOrders(
    private val machine: ManagedMachine,
    private val report: Report,
    private val records: RecordWriter,
    private val cluster: ClusterState,
    private val decisions: DecisionLog,
) {
    private val admission = cluster.admission
    private val reportedTasks: Map<Start, ReportedTask> = report.tasks.associateBy { it.start }

    /**
     * Computes the orders and marks the starts among them as sent. May raise the token under which the worker is
     * commanded, so the response must carry the token that is current afterwards.
     */
    fun compute(): List<Order> {
        if (report.tasks.isEmpty() && machine.placements.isEmpty()) return emptyList<Order>().also { retain(0) }
        return machine.placements.values.flatMap(::ordersFor) + clearOrders()
    }

    private fun ordersFor(placed: PlacedTask): List<Order> {
        if (!placed.mayBeSent(records) || placed.session != machine.session) return emptyList()
        val isReported = placed.start in reportedTasks
        return when {
            placed.stopRequest != null -> stopOrders(placed, isReported)
            isReported || placed.state != null || placed.isInherited -> emptyList()
            admission.mayBeSent(placed) -> listOf(startOrder(placed))
            else -> emptyList()
        }
    }

    private fun stopOrders(placed: PlacedTask, isReported: Boolean): List<Order> {
        val stop = placed.stopOrder ?: return emptyList()
        val mayStartLate = !isReported && placed.inDoubt && admission.placeRefusal(placed) == null
        // The worker ignores a start that it knows: starting and stopping it now makes a delayed start ineffective.
        return if (mayStartLate) listOf(Order.Run(placed.start), stop) else listOf(stop)
    }

    private fun startOrder(placed: PlacedTask): Order {
        placed.startSent = true
        placed.startSentInReport = report.sequence
        cluster.startHistory.sentInResponse(placed.start)
        return Order.Run(placed.start)
    }

    /**
     * Tells the worker to forget its exited tasks. A direct command with their starts may be delivered once more, and
     * would start tasks again that the worker has forgotten: so the same response first raises the token above that of
     * the command. Where that is not possible the exits stay in the reports.
     */
    private fun clearOrders(): List<Order> {
        val exited = reportedTasks.values.filter { it.state == TaskState.EXITED && it.start !in machine.placements }
        if (exited.isNotEmpty() && machine.commandToken.mayStartAgain) raiseToken(exited.size)
        retain(if (machine.commandToken.mayStartAgain) exited.size else 0)
        return if (machine.commandToken.mayStartAgain) emptyList() else exited.map { clearOrder(it.start) }
    }

    /** A command in flight would be refused for its lower token, so the token is raised after it if that can wait. */
    private fun raiseToken(exits: Int) {
        if (machine.hasCommandInFlight && exits < MAX_DEFERRED_EXITS) return
        val previous = machine.commandToken.current
        if (!cluster.tokens.raise(machine.commandToken)) return
        ClusterMetrics.tokenRaised()
        decisions.tokenRaised(machine, previous, exits)
    }

    private fun retain(exits: Int) {
        machine.retainedExits = exits
        if (exits > 0) ClusterMetrics.exitsRetained(exits)
    }

    private fun clearOrder(start: Start): Order {
        checkClear(start)
        cluster.startHistory.cleared(start)
        return Order.Clear(start)
    }

    /** Checks the invariant that no start is cleared which a copy of a direct command may start again. */
    private fun checkClear(start: Start) {
        val trace = cluster.startHistory.of(start) ?: return
        val sentUnder = trace.directToken ?: return
        if (trace.session == machine.session && sentUnder >= machine.commandToken.current) {
            Invariants.reportViolation("early_clear", "$start on ${machine.host}, sent under token $sentUnder")
        }
    }

    private companion object {
        /** With this many exits to clear, the token is raised even while a direct command is in flight. */
        const val MAX_DEFERRED_EXITS = 32
    }
}
