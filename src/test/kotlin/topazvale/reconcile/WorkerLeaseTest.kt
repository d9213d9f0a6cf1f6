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

    private fun answered(after: Int, session: Long, sequence: Long, token: Long = OURS) =
        Message(after.seconds, session, sequence, token, ReportSource.ANSWERED)

    private fun unanswered(after: Int, session: Long, sequence: Long, token: Long = OURS) =
        Message(after.seconds, session, sequence, token, ReportSource.UNANSWERED)

    private fun direct(after: Int, session: Long, sequence: Long, token: Long = OURS) =
        Message(after.seconds, session, sequence, token, ReportSource.DIRECT)

    /** A lease of 10 s may last 10.51 s by our clock; a former leader may have renewed one until 30 s after our start. */
    @Test
    fun `a worker may run until the latest end of its lease`() {
        data class Case(val name: String, val messages: List<Message>, val end: Duration)
        val longest = 10.seconds * 1.001 + 500.milliseconds
        val cases = listOf(
            Case("a worker never heard: a former leader's", emptyList(), FORMER),
            Case("an answered report", listOf(answered(5, 1, 1)), 5.seconds + longest),
            Case(
                "a report that is not answered renews nothing",
                listOf(answered(5, 1, 1), unanswered(9, 1, 2)),
                5.seconds + longest,
            ),
            Case("nor does a direct answer", listOf(answered(5, 1, 1), direct(9, 1, 2)), 5.seconds + longest),
            Case("a session first seen has its own", listOf(answered(5, 1, 1), direct(9, 2, 2)), 9.seconds + longest),
            Case(
                "a report overtaken by a direct answer",
                listOf(answered(5, 1, 1), direct(8, 1, 3), answered(9, 1, 2)),
                9.seconds + longest,
            ),
            Case(
                "two of them",
                listOf(answered(5, 1, 1), direct(8, 1, 9), answered(9, 1, 2), answered(12, 1, 4)),
                12.seconds + longest,
            ),
            Case(
                "a late copy of an answered report",
                listOf(answered(5, 1, 1), answered(9, 1, 1)),
                5.seconds + longest,
            ),
            Case(
                "a report given up before a later one was sent",
                listOf(answered(5, 1, 7), answered(9, 1, 6)),
                5.seconds + longest,
            ),
            Case("a report of an earlier session", listOf(answered(5, 2, 7), answered(9, 1, 99)), 5.seconds + longest),
            Case("the token not seen: the former leader's too", listOf(answered(5, 1, 1, token = 6)), FORMER),
            Case(
                "the token first seen in a direct answer: the former leader may have renewed until then",
                listOf(answered(5, 1, 1, token = 6), direct(14, 1, 9)),
                14.seconds + longest,
            ),
            Case(
                "or in a report that is not answered",
                listOf(answered(5, 1, 1, token = 6), unanswered(14, 1, 9)),
                14.seconds + longest,
            ),
        )
        for (c in cases) {
            val time = TestTimeSource()
            val clocks = Clocks(time, Clock.System)
            val rules = LeaseRules(OURS, 10.seconds, clocks.mark() + FORMER)
            val lease = WorkerLease(clocks)
            var now = Duration.ZERO
            for (message in c.messages) {
                time += message.after - now
                now = message.after
                lease.recordMessage(report(message), message.source, OURS)
            }
            time += c.end - now - 1.milliseconds
            assertEquals(true, lease.mayRun(rules), "${c.name}: until ${c.end}")
            time += 2.milliseconds
            assertEquals(false, lease.mayRun(rules), "${c.name}: no longer than ${c.end}")
        }
    }

    private fun report(m: Message) = Report(
        "n-1",
        "127.0.0.1:1",
        Market("plain", "a", spot = false),
        m.session,
        m.sequence,
        m.token,
        null,
        emptyList(),
    )

    private companion object {
        const val OURS = 7L
        val FORMER = 30.seconds
    }
}
