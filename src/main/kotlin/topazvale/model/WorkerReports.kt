package topazvale.model

import kotlin.time.Duration

enum class TaskState { FETCHING, WAITING, RUNNING, SAVING, EXITED }

enum class ExitCause { DONE, STOPPED, MATES_GONE, INCOMPLETE, ERROR, NO_ROOM, BUSY, NO_SUCH }

data class ReportedTask(val start: Start, val state: TaskState, val cause: ExitCause?, val saved: Boolean)

/** A worker's word about itself. The one with the larger ([session], [sequence]) is the newer. */
data class Report(
    val host: String,
    val endpoint: String,
    val market: Market,
    val session: Long,
    val sequence: Long,
    val token: Long,
    val notice: Duration?,
    val tasks: List<ReportedTask>,
)

sealed interface Order {
    data class Run(val start: Start) : Order

    data class Stop(val start: Start, val grace: Duration) : Order

    data class Clear(val start: Start) : Order
}
