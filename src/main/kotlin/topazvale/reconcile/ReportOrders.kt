package topazvale.reconcile

import topazvale.model.Order
import topazvale.model.Report
import topazvale.model.ReportedTask
import topazvale.model.Start
import topazvale.model.TaskState
import topazvale.store.RecordWriter

/** Works out the orders in answer to one report. */
internal class ReportOrders(
    private val machine: ManagedMachine,
    private val report: Report,
    private val records: RecordWriter,
) {
    private val listed: Map<Start, ReportedTask> = report.tasks.associateBy { it.start }

    /** The orders; starts among them are marked as sent. */
    fun list(): List<Order> {
        if (report.tasks.isEmpty() && machine.placements.isEmpty()) return emptyList()
        return machine.placements.values.flatMap(::orders) + clears()
    }

    private fun orders(placed: PlacedTask): List<Order> {
        if (!placed.mayBeSent(records) || placed.session != machine.session) return emptyList()
        val shown = listed[placed.start]
        val grace = placed.stopGracePeriod
        return when {
            grace != null -> stop(placed, shown, Order.Stop(placed.start, grace))
            shown == null && placed.state == null && !placed.isInherited -> listOf(run(placed))
            else -> emptyList()
        }
    }

    private fun stop(placed: PlacedTask, shown: ReportedTask?, stop: Order.Stop): List<Order> = when {
        // A command that may still arrive is made void by letting the start begin and end at once.
        shown == null && placed.inDoubt -> listOf(Order.Run(placed.start), stop)

        shown?.state == TaskState.SAVING -> emptyList()

        else -> listOf(stop)
    }

    private fun run(placed: PlacedTask): Order {
        placed.startSent = true
        placed.startSentInReport = report.sequence
        return Order.Run(placed.start)
    }

    private fun clears(): List<Order> = listed.values
        .filter {
            it.state == TaskState.EXITED && it.start !in machine.placements && it.start !in machine.retainedStarts
        }
        .map { Order.Clear(it.start) }
}
