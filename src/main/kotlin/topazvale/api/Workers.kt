package topazvale.api

import topazvale.model.Order
import topazvale.model.Report
import topazvale.wire.WorkerWire

/** What the node can say to a worker at this moment. */
sealed interface Standing {
    class Leading(val token: Long, val answer: (Report) -> List<Order>?) : Standing

    /** Leading, but for too long without word of what users were told: no lease may be renewed. */
    class Unsure(val note: (Report) -> Unit) : Standing

    class Following(val leader: String?) : Standing
}

class Workers(private val standing: () -> Standing) {
    fun report(report: Report): Answer = when (val now = standing()) {
        is Standing.Following -> if (now.leader == null) Answer.later("no leader") else elsewhere(now.leader)

        is Standing.Unsure -> Answer.later("no word from the state service").also { now.note(report) }

        is Standing.Leading -> when {
            // It has seen a later leader: an answer of ours would be dropped while its lease runs out.
            report.token > now.token -> elsewhere(null)

            else -> now.answer(report)?.let { Answer(200, WorkerWire.answer(now.token, it)) }
                ?: Answer.later("not ready")
        }
    }

    private fun elsewhere(leader: String?) = Answer(421, WorkerWire.elsewhere(leader))
}
