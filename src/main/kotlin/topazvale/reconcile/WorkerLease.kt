package topazvale.reconcile

import topazvale.model.Clocks
import topazvale.model.Report
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The rules by which a term judges workers' leases. Until [formerLeaderUntil], a worker that has not seen the term's
 * [token] may run on a lease that a former leader renewed.
 */
class LeaseRules(val token: Long, workerLease: Duration, val formerLeaderUntil: ComparableTimeMark) {
    /** How long a lease can last after a message that may have renewed it. */
    val maxDuration: Duration = maxDuration(workerLease)

    companion object {
        /** Added to the lease for the time that a report takes to arrive. */
        private val EXPIRY_MARGIN = 500.milliseconds

        /** Steady clocks run up to 0.05% fast or slow, both the leader's and the worker's. */
        private const val MAX_CLOCK_DRIFT = 1.001

        /** How long a lease of [workerLease] can last by the leader's clock. */
        fun maxDuration(workerLease: Duration): Duration = workerLease * MAX_CLOCK_DRIFT + EXPIRY_MARGIN
    }
}

/**
 * Tracks until when a worker may run its tasks. No other type decides that, so every message of the worker is recorded
 * here, whatever the order of arrival.
 *
 * A worker's lease starts when it *sends* the last report that is answered. An answered report therefore renews the
 * lease from its arrival, even if it is out of order because the response to a direct command arrived first: the worker
 * still reads the response. A report that is not newer than one answered before renews nothing, because the worker has
 * one report in flight at a time and drops the response to any other.
 */
class WorkerLease(private val clocks: Clocks) {
    /** When the last message that may have renewed the lease arrived; null until the first to this leader. */
    var lastRenewedAt: ComparableTimeMark? = null
        private set

    /** The highest token that the worker has reported. */
    var token = 0L
        private set
    private var session = 0L
    private var answeredSequence = NO_SEQUENCE

    /** Records a message of the worker to the leader whose token is [leaderToken]. */
    fun recordMessage(report: Report, source: ReportSource, leaderToken: Long) {
        // The worker has ended that session and drops responses to its reports.
        if (report.session < session) return
        val isFirstOfSession = lastRenewedAt == null || report.session > session
        if (isFirstOfSession) beginSession(report.session)
        // Until the worker saw this leader's token, a former leader may have renewed the lease.
        val isFirstOfToken = token < leaderToken && report.token >= leaderToken
        token = maxOf(token, report.token)
        if (isAnsweredNow(report, source) || isFirstOfSession || isFirstOfToken) lastRenewedAt = clocks.mark()
    }

    /** Whether the worker may still run its tasks. */
    fun mayRun(rules: LeaseRules): Boolean {
        val formerLeaderExpiry = if (token >= rules.token) null else rules.formerLeaderUntil
        val ownExpiry = lastRenewedAt?.let { it + rules.maxDuration }
        return listOfNotNull(formerLeaderExpiry, ownExpiry).any { it.hasNotPassedNow() }
    }

    /** The evidence on which [mayRun] decides. */
    fun grounds(rules: LeaseRules) =
        LeaseGrounds(session, answeredSequence, token, lastRenewedAt?.elapsedNow(), rules.maxDuration)

    /** Whether the report is answered and the worker accepts the response. */
    private fun isAnsweredNow(report: Report, source: ReportSource): Boolean {
        if (source != ReportSource.ANSWERED || report.sequence <= answeredSequence) return false
        answeredSequence = report.sequence
        return true
    }

    private fun beginSession(number: Long) {
        session = number
        answeredSequence = NO_SEQUENCE
    }

    private companion object {
        /** Lower than any sequence number. */
        const val NO_SEQUENCE = -1L
    }
}

/** How a report of a worker arrived. */
enum class ReportSource {
    /** As a report that is answered; the response renews the worker's lease. */
    ANSWERED,

    /** As a report that must not be answered, because a response would renew the worker's lease. */
    UNANSWERED,

    /** As the response to a direct command, which does not renew the lease. */
    DIRECT,
}
