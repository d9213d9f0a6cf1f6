package topazvale.api

import topazvale.model.Report
import topazvale.model.ReportResponse
import topazvale.net.HttpStatus
import topazvale.wire.WorkerWire

/** Whether this controller may currently respond to workers' reports. */
sealed interface LeadershipStatus {
    /**
     * Leading, with [highestToken] as the highest token issued to any worker. [respond] returns null until the cluster
     * state has been rebuilt.
     */
    class Leading(val highestToken: Long, val respond: (Report) -> ReportResponse?) : LeadershipStatus

    /**
     * Leading, but the lease grace period has expired: the leader may have missed cancellations that were confirmed to
     * users. It must not respond to reports, as a response renews the worker's lease.
     */
    class GracePeriodExpired(val applyUnanswered: (Report) -> Unit) : LeadershipStatus

    /** Another controller leads, or none does; [leader] is null if the leader is unknown. */
    class Following(val leader: String?) : LeadershipStatus
}

/** Responds to workers' reports, or redirects workers to the leader. [onReport] is called for each report. */
class ReportApi(private val onReport: () -> Unit, private val leadershipStatus: () -> LeadershipStatus) {
    /** `POST /agent/beat`. */
    fun report(report: Report): ApiResponse {
        onReport()
        return respond(report)
    }

    private fun respond(report: Report): ApiResponse = when (val status = leadershipStatus()) {
        is LeadershipStatus.Following ->
            if (status.leader == null) ApiResponse.retryLater("no leader") else redirect(status.leader)

        is LeadershipStatus.GracePeriodExpired ->
            ApiResponse.retryLater("no word from the state service").also { status.applyUnanswered(report) }

        is LeadershipStatus.Leading -> when {
            // The worker has seen a newer leader: it would drop this response, and its lease would expire.
            report.token > status.highestToken -> redirect(null)

            else -> status.respond(report)?.let { ApiResponse(HttpStatus.OK, WorkerWire.encodeReportResponse(it)) }
                ?: ApiResponse.retryLater("not ready")
        }
    }

    private fun redirect(leader: String?) = ApiResponse(HttpStatus.MISDIRECTED, WorkerWire.encodeRedirect(leader))
}
