package topazvale.reconcile

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.model.Clocks
import topazvale.model.Market
import topazvale.model.Report
import topazvale.model.ReportedTask
import topazvale.model.Start
import topazvale.model.TaskId
import topazvale.model.TaskState
import kotlin.time.Duration.Companion.seconds

class ResponseDeliveryTest {
    private val start = Start(TaskId("job-1", 0), 5)

    private fun report(session: Long, token: Long, listsStart: Boolean) = Report(
        "n-1",
        "127.0.0.1:1",
        Market("plain", "a", spot = false),
        session,
        1,
        token,
        null,
        if (listsStart) listOf(ReportedTask(start, TaskState.FETCHING, null, false)) else emptyList(),
    )

    @Test
    fun `responses are unconfirmed once two reports in a row do not reflect them`() {
        // Each response holds a start. Each report is given by its token (the leader's is 7), whether it lists the
        // start, and whether its session is that of the report before.
        data class Case(val name: String, val reports: List<Triple<Long, Boolean, Boolean>>, val confirmed: Boolean)
        val cases = listOf(
            Case("no response yet", emptyList(), true),
            Case("each start is listed", listOf(Triple(7L, true, true), Triple(7L, true, true)), true),
            Case("one response lost", listOf(Triple(7L, false, true)), true),
            Case("two responses lost", listOf(Triple(7L, false, true), Triple(7L, false, true)), false),
            Case(
                "the leader's token not reported, twice",
                listOf(Triple(6L, true, true), Triple(6L, true, true)),
                false,
            ),
            Case(
                "a response arrives again",
                listOf(Triple(7L, false, true), Triple(7L, false, true), Triple(7L, true, true)),
                true,
            ),
            Case("a later leader's token", listOf(Triple(8L, false, true), Triple(8L, false, true)), true),
            Case("the lease expired although the report was answered", listOf(Triple(7L, false, false)), false),
        )
        for (c in cases) {
            val responses = ResponseDelivery(Clocks.SYSTEM)
            for ((token, listsStart, sameSession) in c.reports) {
                responses.recordResponse(LEADER_TOKEN, start)
                responses.recordReport(report(1, token, listsStart), LEADER_TOKEN, sameSession, lease = 14.seconds)
            }
            assertEquals(c.confirmed, responses.isConfirmed, c.name)
        }
    }

    /** Guards against a worker that receives nothing and passes for one of a later leader. */
    @Test
    fun `a worker that never shows the leader's raised token does not receive the responses`() {
        val cases = listOf(LEADER_TOKEN to false, RAISED_TOKEN to true, RAISED_TOKEN + 1 to true)
        for ((reported, confirmed) in cases) {
            val responses = ResponseDelivery(Clocks.SYSTEM)
            repeat(2) {
                responses.recordResponse(RAISED_TOKEN, null)
                responses.recordReport(report(1, reported, false), RAISED_TOKEN, sameSession = true, lease = 14.seconds)
            }
            assertEquals(confirmed, responses.isConfirmed, "the worker reports token $reported")
        }
    }

    private companion object {
        const val LEADER_TOKEN = 7L
        const val RAISED_TOKEN = 12L
    }
}
