package topazvale.reconcile

import topazvale.model.Clocks
import topazvale.model.Report
import topazvale.model.Start
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * Tracks whether a worker receives the leader's responses. The arrival of its reports does not show that: responses and
 * direct commands may be lost on the way to the worker. A later report that reflects an earlier response confirms it.
 */
class ResponseDelivery(private val clocks: Clocks) {
    private var awaitedStart: Start? = null
    private var awaitedToken = 0L
    private var unconfirmedResponses = 0
    private var unconfirmedSince: ComparableTimeMark? = null
    private var lastResponseAt: ComparableTimeMark? = null

    /** False once two consecutive responses were not confirmed. */
    val isConfirmed: Boolean get() = unconfirmedResponses < UNCONFIRMED_LIMIT

    /** The time for which responses have been unconfirmed; zero while [isConfirmed]. */
    val unconfirmedFor: Duration
        get() = if (isConfirmed) Duration.ZERO else unconfirmedSince?.elapsedNow() ?: Duration.ZERO

    /**
     * Records a report to the leader, which has issued no higher token than [highestToken]. [sameSession] tells whether
     * the session of the worker is the same as in its last report.
     */
    fun recordReport(report: Report, highestToken: Long, sameSession: Boolean, lease: Duration) {
        val lastResponse = lastResponseAt ?: return
        // A worker begins a new session when its lease expires. If it expired although the reports were answered, the
        // responses did not reach the worker.
        if (!sameSession && lastResponse.elapsedNow() < lease / 2) return recordUnconfirmed(UNCONFIRMED_LIMIT)
        val expected = awaitedStart
        val isStartListed = expected == null || report.tasks.any { it.start == expected }
        val confirmed = report.token >= awaitedToken && isStartListed
        if (confirmed || report.token > highestToken) {
            unconfirmedResponses = 0
            unconfirmedSince = null
        } else {
            recordUnconfirmed(1)
        }
        awaitedStart = null
    }

    private fun recordUnconfirmed(count: Int) {
        unconfirmedResponses += count
        if (unconfirmedSince == null) unconfirmedSince = clocks.mark()
    }

    /**
     * Records that a report was answered under [token]; [start] is the start among the orders that the next report
     * should list.
     */
    fun recordResponse(token: Long, start: Start?) {
        lastResponseAt = clocks.mark()
        awaitedToken = token
        awaitedStart = start
    }

    private companion object {
        const val UNCONFIRMED_LIMIT = 2
    }
}
