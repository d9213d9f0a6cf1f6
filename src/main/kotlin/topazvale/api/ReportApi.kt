package topazvale.api

import topazvale.model.Order
import topazvale.model.Report
import topazvale.net.HttpStatus
import topazvale.wire.WorkerWire

/** Whether this controller may answer workers at this moment. */
sealed interface LeadershipStatus {
    /** Leading: reports are answered under the token; without an answer the state is not rebuilt yet. */
    class Leading(val token: Long, val respond: (Report) -> List<Order>?) : LeadershipStatus

    /** Leading, but not certain for too long of what users were told: no lease may be renewed. */
    class GracePeriodExpired(val applyUnanswered: (Report) -> Unit) : LeadershipStatus

    /** Another controller leads, or nobody that is known. */
    class Following(val leader: String?) : LeadershipStatus
}

/** Answers workers' reports, or sends workers to the controller that may. */
class ReportApi(private val leadershipStatus: () -> LeadershipStatus) {
    /** `POST /agent/beat`. */
    fun report(report: Report): ApiResponse = when (val now = leadershipStatus()) {
        is LeadershipStatus.Following ->
            if (now.leader == null) ApiResponse.retryLater("no leader") else elsewhere(now.leader)

        is LeadershipStatus.GracePeriodExpired ->
            ApiResponse.retryLater("no word from the state service").also { now.applyUnanswered(report) }

        is LeadershipStatus.Leading -> when {
            // It has seen a later leader: an answer of ours would be dropped while its lease runs out.
            report.token > now.token -> elsewhere(null)

            else -> now.respond(report)?.let {
                ApiResponse(HttpStatus.OK, WorkerWire.encodeReportResponse(now.token, it))
            }
                ?: ApiResponse.retryLater("not ready")
        }
    }

    private fun elsewhere(leader: String?) = ApiResponse(HttpStatus.MISDIRECTED, WorkerWire.encodeRedirect(leader))
}
