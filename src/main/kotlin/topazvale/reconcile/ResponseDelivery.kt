package topazvale.reconcile

import topazvale.model.Clocks
import topazvale.model.Report
import topazvale.model.Start
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * Whether a worker hears us. That its reports come in does not show it: answers and direct commands may be lost on the
 * way back. What shows it is that a later report bears out what an earlier answer said.
 */
class ResponseDelivery(private val clocks: Clocks) {
    private var awaited: Start? = null
    private var unacknowledged = 0
    private var since: ComparableTimeMark? = null
    private var answered: ComparableTimeMark? = null

    /** False once two answers in a row have left no trace. */
    val isConfirmed: Boolean get() = unacknowledged < ANSWERS

    /** For how long answers have been leaving no trace. */
    val unconfirmedFor: Duration get() = if (isConfirmed) Duration.ZERO else since?.elapsedNow() ?: Duration.ZERO

    /** A report to the leader with [ours] as its token came in; [inSession]: the worker's session has not changed. */
    fun reported(report: Report, ours: Long, inSession: Boolean, lease: Duration) {
        val last = answered ?: return
        // A lease that runs out though its reports were answered all the while has not been renewed by the answers.
        if (!inSession && last.elapsedNow() < lease / 2) return missed(ANSWERS)
        val start = awaited
        val acknowledged = report.token >= ours && (start == null || report.tasks.any { it.start == start })
        if (acknowledged || report.token > ours) {
            unacknowledged = 0
            since = null
        } else {
            missed(1)
        }
        awaited = null
    }

    private fun missed(count: Int) {
        unacknowledged += count
        if (since == null) since = clocks.mark()
    }

    /** Its report was answered, with [run] among the orders. */
    fun answered(run: Start?) {
        answered = clocks.mark()
        awaited = run
    }

    private companion object {
        const val ANSWERS = 2
    }
}
