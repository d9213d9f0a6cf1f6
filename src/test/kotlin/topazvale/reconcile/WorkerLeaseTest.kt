package topazvale.reconcile

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.model.Clocks
import topazvale.model.Market
import topazvale.model.Report
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class WorkerLeaseTest {
    private class Message(
        val after: Duration,
        val session: Long,
        val sequence: Long,
        val token: Long,
        val source: ReportSource,
    )

    private fun answered(after: Int, session: Long, sequence: Long, token: Long = LEADER_TOKEN) =
        Message(after.seconds, session, sequence, token, ReportSource.ANSWERED)

    private fun unanswered(after: Int, session: Long, sequence: Long, token: Long = LEADER_TOKEN) =
        Message(after.seconds, session, sequence, token, ReportSource.UNANSWERED)

    private fun direct(after: Int, session: Long, sequence: Long, token: Long = LEADER_TOKEN) =
        Message(after.seconds, session, sequence, token, ReportSource.DIRECT)

    /**
     * A lease of 10 s may last 10.51 s by the leader's clock. A former leader may have renewed one until 30 s after the
     * start of the term.
     */
    @Test
    fun `a worker may run until the latest end of its lease`() {
        data class Case(val name: String, val messages: List<Message>, val end: Duration)
        val maxDuration = 10.seconds * 1.001 + 500.milliseconds
        val cases = listOf(
            Case("no message yet: a former leader's lease", emptyList(), FORMER_LEADER_WINDOW),
            Case("an answered report", listOf(answered(5, 1, 1)), 5.seconds + maxDuration),
            Case(
                "a report that is not answered does not renew",
                listOf(answered(5, 1, 1), unanswered(9, 1, 2)),
                5.seconds + maxDuration,
            ),
            Case(
                "nor does a response to a direct command",
                listOf(answered(5, 1, 1), direct(9, 1, 2)),
                5.seconds + maxDuration,
            ),
            Case(
                "a new session has a lease of its own",
                listOf(answered(5, 1, 1), direct(9, 2, 2)),
                9.seconds + maxDuration,
            ),
            Case(
                "a report out of order, behind a response to a direct command",
                listOf(answered(5, 1, 1), direct(8, 1, 3), answered(9, 1, 2)),
                9.seconds + maxDuration,
            ),
            Case(
                "two such reports",
                listOf(answered(5, 1, 1), direct(8, 1, 9), answered(9, 1, 2), answered(12, 1, 4)),
                12.seconds + maxDuration,
            ),
            Case(
                "a delayed copy of an answered report",
                listOf(answered(5, 1, 1), answered(9, 1, 1)),
                5.seconds + maxDuration,
            ),
            Case(
                "a report abandoned before a later one was sent",
                listOf(answered(5, 1, 7), answered(9, 1, 6)),
                5.seconds + maxDuration,
            ),
            Case(
                "a report of an earlier session",
                listOf(answered(5, 2, 7), answered(9, 1, 99)),
                5.seconds + maxDuration,
            ),
            Case(
                "the leader's token not reported: the former leader's lease too",
                listOf(answered(5, 1, 1, token = 6)),
                FORMER_LEADER_WINDOW,
            ),
            Case(
                "the token first reported by a direct response: the former leader may have renewed until then",
                listOf(answered(5, 1, 1, token = 6), direct(14, 1, 9)),
                14.seconds + maxDuration,
            ),
            Case(
                "or by a report that is not answered",
                listOf(answered(5, 1, 1, token = 6), unanswered(14, 1, 9)),
                14.seconds + maxDuration,
            ),
        )
        for (c in cases) {
            val time = TestTimeSource()
            val clocks = Clocks(time, Clock.System)
            val rules = LeaseRules(LEADER_TOKEN, 10.seconds, clocks.mark() + FORMER_LEADER_WINDOW)
            val lease = WorkerLease(clocks)
            var now = Duration.ZERO
            for (message in c.messages) {
                time += message.after - now
                now = message.after
                lease.recordMessage(report(message), message.source, LEADER_TOKEN)
            }
            time += c.end - now - 1.milliseconds
            assertEquals(true, lease.mayRun(rules), "${c.name}: until ${c.end}")
            time += 2.milliseconds
            assertEquals(false, lease.mayRun(rules), "${c.name}: no longer than ${c.end}")
        }
    }

    private fun report(message: Message) = Report(
        "n-1",
        "127.0.0.1:1",
        Market("plain", "a", spot = false),
        message.session,
        message.sequence,
        message.token,
        null,
        emptyList(),
    )

    private companion object {
        const val LEADER_TOKEN = 7L
        val FORMER_LEADER_WINDOW = 30.seconds
    }
}
