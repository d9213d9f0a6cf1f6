package topazvale.model

import kotlin.time.Duration

/** Where a task on a machine stands. */
enum class TaskState { FETCHING, WAITING, RUNNING, SAVING, EXITED }

/** Why a task has exited. */
enum class ExitCause { DONE, STOPPED, MATES_GONE, INCOMPLETE, ERROR, NO_ROOM, BUSY, NO_SUCH }

/** A task as its worker reports it; [cause] of an exited one, [saved] where its progress was saved. */
data class ReportedTask(val start: Start, val state: TaskState, val cause: ExitCause?, val saved: Boolean)

/** A worker's word about itself. The one with the larger ([session], [sequence]) is the newer. */
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

/** What a worker is told to do. */
sealed interface Order {
    /** Start the task, unless this attempt is known already. */
    data class Run(val start: Start) : Order

    /** Stop the task, with this much time to save. */
    data class Stop(val start: Start, val gracePeriod: Duration) : Order

    /** Leave the exited task out of the reports. */
    data class Clear(val start: Start) : Order
}
