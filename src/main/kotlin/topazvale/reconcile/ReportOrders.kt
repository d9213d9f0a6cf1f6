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
) {
    private val admission = cluster.admission
    private val reportedTasks: Map<Start, ReportedTask> = report.tasks.associateBy { it.start }

    /** Computes the orders and marks the starts among them as sent. */
    fun compute(): List<Order> {
        if (report.tasks.isEmpty() && machine.placements.isEmpty()) return emptyList()
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

    private fun clearOrders(): List<Order> = reportedTasks.values
        .filter {
            it.state == TaskState.EXITED && it.start !in machine.placements && it.start !in machine.retainedStarts
        }
        .map {
            cluster.startHistory.cleared(it.start)
            Order.Clear(it.start)
        }
}
