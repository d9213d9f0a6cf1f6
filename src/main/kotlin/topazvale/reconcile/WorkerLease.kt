package topazvale.reconcile

import topazvale.model.Clocks
import topazvale.model.Report
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * By what a term judges workers' leases: [token] is the term's own, and until [formerLeaderUntil] a worker that has not
 * seen it may run on a lease that a former leader renewed.
 */
class LeaseRules(val token: Long, workerLease: Duration, val formerLeaderUntil: ComparableTimeMark) {
    /** For how long after a message that may have renewed it a lease can last at the most. */
    val longest: Duration = longest(workerLease)

    companion object {
        /** Beyond the lease, for what a report is on its way. */
        private val EXPIRY_MARGIN = 500.milliseconds

        /** Steady clocks differ by up to 0.05%, ours and the worker's. */
        private const val CLOCK_DRIFT = 1.001

        /** The longest that a lease of [workerLease] can last by our clock. */
        fun longest(workerLease: Duration): Duration = workerLease * CLOCK_DRIFT + EXPIRY_MARGIN
    }
}

/**
 * Until when a worker may still run its tasks. This type alone decides it, so that it is told of every message of the
 * worker, in whatever order they come.
 *
 * A worker's lease lasts from when it *sent* the last report that was answered. A report that is answered therefore
 * counts from when it came in, also where the answer to a direct command has overtaken it: the worker reads the answer
 * all the same. A report that is not newer than one answered before renews nothing: the worker has one in flight at a
 * time, and drops the answer to any other.
 */
class WorkerLease(private val clocks: Clocks) {
    /** When the last message came in that may have renewed the lease; null before the first to this leader. */
    var renewedAt: ComparableTimeMark? = null
        private set

    /** The highest token that the worker is known to have seen. */
    var token = 0L
        private set
    private var session = 0L
    private var answeredSequence = NONE

    /** Takes note of a message of the worker, which answers come from the leader with the token [ours]. */
    fun recordMessage(report: Report, source: ReportSource, ours: Long) {
        // The worker has ended that session, and drops what answers its reports.
        if (report.session < session) return
        val firstOfSession = renewedAt == null || report.session > session
        if (firstOfSession) beginSession(report.session)
        // Until the worker saw our token a former leader may have renewed its lease.
        val firstOfToken = token < ours && report.token >= ours
        token = maxOf(token, report.token)
        if (isAnsweredNow(report, source) || firstOfSession || firstOfToken) renewedAt = clocks.mark()
    }

    /** Whether the worker may still run its tasks. */
    fun mayRun(rules: LeaseRules): Boolean {
        val renewedByFormer = if (token >= rules.token) null else rules.formerLeaderUntil
        val renewedByUs = renewedAt?.let { it + rules.longest }
        return listOfNotNull(renewedByFormer, renewedByUs).any { it.hasNotPassedNow() }
    }

    /** What [mayRun] goes by. */
    fun grounds(rules: LeaseRules) =
        LeaseGrounds(session, answeredSequence, token, renewedAt?.elapsedNow(), rules.longest)

    /** Whether the report is one that the worker waits for an answer to, and gets it. */
    private fun isAnsweredNow(report: Report, source: ReportSource): Boolean {
        if (source != ReportSource.ANSWERED || report.sequence <= answeredSequence) return false
        answeredSequence = report.sequence
        return true
    }

    private fun beginSession(number: Long) {
        session = number
        answeredSequence = NONE
    }

    private companion object {
        /** Less than any sequence number. */
        const val NONE = -1L
    }
}

/** How a worker's report came in. */
enum class ReportSource {
    /** As a report that is answered, which renews its worker's lease. */
    ANSWERED,

    /** As a report that may not be answered, as that would renew its worker's lease. */
    UNANSWERED,

    /** As the answer to a direct command, which renews nothing. */
    DIRECT,
}
