package topazvale.api

import topazvale.model.Order
import topazvale.model.Report
import topazvale.wire.WorkerWire

/** What the node can say to a worker at this moment. */
sealed interface LeadershipStatus {
    class AsLeader(val token: Long, val answer: (Report) -> List<Order>?) : LeadershipStatus

    /** Leading, but for too long without word of what users were told: no lease may be renewed. */
    class Uncertain(val note: (Report) -> Unit) : LeadershipStatus

    class Following(val leader: String?) : LeadershipStatus
}

class ReportApi(private val leadershipStatus: () -> LeadershipStatus) {
    fun report(report: Report): Answer = when (val now = leadershipStatus()) {
        is LeadershipStatus.Following -> if (now.leader == null) Answer.later("no leader") else elsewhere(now.leader)

        is LeadershipStatus.Uncertain -> Answer.later("no word from the state service").also { now.note(report) }

        is LeadershipStatus.AsLeader -> when {
            // It has seen a later leader: an answer of ours would be dropped while its lease runs out.
            report.token > now.token -> elsewhere(null)

            else -> now.answer(report)?.let { Answer(200, WorkerWire.answer(now.token, it)) }
                ?: Answer.later("not ready")
        }
    }

    private fun elsewhere(leader: String?) = Answer(421, WorkerWire.elsewhere(leader))
}
