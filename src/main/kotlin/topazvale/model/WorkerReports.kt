package topazvale.model

import kotlin.time.Duration

/** The state of a task on its machine. */
enum class TaskState { FETCHING, WAITING, RUNNING, SAVING, EXITED }

/** Why a task has exited. */
enum class ExitCause { DONE, STOPPED, MATES_GONE, INCOMPLETE, ERROR, NO_ROOM, BUSY, NO_SUCH }

/** A task as reported by its worker; [cause] is set if it has exited, [saved] tells whether its progress was saved. */
data class ReportedTask(val start: Start, val state: TaskState, val cause: ExitCause?, val saved: Boolean)

/**
 * A worker's report of its state. The report with the larger ([session], [sequence]) is newer.
 *
 * [token] is the highest fencing token that the worker has seen. [interruptionNotice] is the time left until the cloud
 * takes back the spot machine; null without a notice.
 */
data class Report(
    val host: String,
    val endpoint: String,
    val market: Market,
    val session: Long,
    val sequence: Long,
    val token: Long,
    val interruptionNotice: Duration?,
    val tasks: List<ReportedTask>,
)

/** The response to a report: [orders], which the worker carries out unless it has seen a higher token than [token]. */
class ReportResponse(val token: Long, val orders: List<Order>) {
    /** The first start among the orders, if any. */
    val firstStart: Start? get() = orders.firstNotNullOfOrNull { (it as? Order.Run)?.start }
}

/** A direct command: a worker in [session] that has seen no higher token than [token] carries out its [orders]. */
class DirectCommand(val token: Long, val session: Long, val orders: List<Order>)

/** An order from the leader to a worker. */
sealed interface Order {
    /** Starts the task, unless the worker already knows this attempt. */
    data class Run(val start: Start) : Order

    /** Stops the task, with [gracePeriod] to save its progress. */
    data class Stop(val start: Start, val gracePeriod: Duration) : Order

    /** Removes the exited task from the reports. */
    data class Clear(val start: Start) : Order
}
