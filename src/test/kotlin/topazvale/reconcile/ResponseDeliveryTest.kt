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

    private fun report(session: Long, token: Long, shows: Boolean) = Report(
        "n-1",
        "127.0.0.1:1",
        Market("plain", "a", spot = false),
        session,
        1,
        token,
        null,
        if (shows) listOf(ReportedTask(start, TaskState.FETCHING, null, false)) else emptyList(),
    )

    @Test
    fun `what shows that a worker hears us is a report that bears out an answer`() {
        // Each answer gives a start; each report: its token (ours is 7), whether it shows the start, whether the
        // session is the same
        data class Case(val name: String, val reports: List<Triple<Long, Boolean, Boolean>>, val good: Boolean)
        val cases = listOf(
            Case("nothing said yet", emptyList(), true),
            Case("it does as told", listOf(Triple(7L, true, true), Triple(7L, true, true)), true),
            Case("one answer lost", listOf(Triple(7L, false, true)), true),
            Case("two answers lost", listOf(Triple(7L, false, true), Triple(7L, false, true)), false),
            Case("our token not seen, twice", listOf(Triple(6L, true, true), Triple(6L, true, true)), false),
            Case(
                "it hears again",
                listOf(Triple(7L, false, true), Triple(7L, false, true), Triple(7L, true, true)),
                true,
            ),
            Case("a later leader has it", listOf(Triple(8L, false, true), Triple(8L, false, true)), true),
            Case("its lease ran out although we answered", listOf(Triple(7L, false, false)), false),
        )
        for (c in cases) {
            val responses = ResponseDelivery(Clocks.SYSTEM)
            for ((token, shows, inSession) in c.reports) {
                responses.answered(start)
                responses.reported(report(1, token, shows), ours = 7, inSession, lease = 14.seconds)
            }
            assertEquals(c.good, responses.isConfirmed, c.name)
        }
    }
}
