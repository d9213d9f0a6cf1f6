package topazvale.api

import topazvale.model.Order
import topazvale.model.Report
import topazvale.net.HttpStatus
import topazvale.wire.WorkerWire

/** Whether this controller may answer workers at this moment. */
sealed interface LeadershipStatus {
    /** Leading: reports are answered under the token; without an answer the state is not rebuilt yet. */
    class AsLeader(val token: Long, val answer: (Report) -> List<Order>?) : LeadershipStatus

    /** Leading, but not certain for too long of what users were told: no lease may be renewed. */
    class Uncertain(val note: (Report) -> Unit) : LeadershipStatus

    /** Another controller leads, or nobody that is known. */
    class Following(val leader: String?) : LeadershipStatus
}

/** Answers workers' reports, or sends workers to the controller that may. */
class ReportApi(private val leadershipStatus: () -> LeadershipStatus) {
    /** `POST /agent/beat`. */
    fun report(report: Report): Answer = when (val now = leadershipStatus()) {
        is LeadershipStatus.Following -> if (now.leader == null) Answer.later("no leader") else elsewhere(now.leader)

        is LeadershipStatus.Uncertain -> Answer.later("no word from the state service").also { now.note(report) }

        is LeadershipStatus.AsLeader -> when {
            // It has seen a later leader: an answer of ours would be dropped while its lease runs out.
            report.token > now.token -> elsewhere(null)

            else -> now.answer(report)?.let { Answer(HttpStatus.OK, WorkerWire.answer(now.token, it)) }
                ?: Answer.later("not ready")
        }
    }

    private fun elsewhere(leader: String?) = Answer(HttpStatus.MISDIRECTED, WorkerWire.elsewhere(leader))
}
