package topazvale.mesh

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.model.Clocks
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class PeersTest {
    private val time = TestTimeSource()
    private val startedAt = time.markNow()

    @Test
    fun `completeness extends only if every peer proves it for the whole period`() {
        time += 10.seconds
        // Cancellations are known until 5 s; the peer statuses are requested at 9 s and received at 10 s.
        fun received(unresponsiveS: Int, completeS: Int = 0) = ReceivedStatus(
            PeerStatus("p", unresponsiveS * 1000L, 0, cancellationsCompleteMs = completeS * 1000L),
            startedAt + 9.seconds,
            startedAt + 10.seconds,
        )
        val cases = listOf(
            Triple("both without responses for the whole period", listOf(received(6), received(5)), 9.seconds),
            Triple("one had a response in the period", listOf(received(6), received(4)), null),
            Triple(
                "one had a response in the period and lists all its cancellations",
                listOf(received(6), received(4, completeS = 5)),
                9.seconds,
            ),
            Triple("its list does not cover the whole period", listOf(received(6), received(4, completeS = 4)), null),
            Triple("one is unreachable", listOf(received(6), null), null),
            Triple("no peers", emptyList(), null),
        )
        for ((name, peers, expected) in cases) {
            assertEquals(
                expected,
                cancellationsCompleteUntil(peers, startedAt + 5.seconds)?.let { it - startedAt },
                name,
            )
        }
    }

    /** Guards against peers that count as served because their leases and watches get responses. */
    @Test
    fun `a peer is served only if its reads and transactions get responses too`() {
        time += 10.seconds
        fun received(unresponsiveMs: Long, dataUnresponsiveMs: Long, ageS: Int = 1) = ReceivedStatus(
            PeerStatus("p", unresponsiveMs, 0, dataUnresponsiveMs = dataUnresponsiveMs),
            startedAt + (10 - ageS).seconds,
            startedAt + (10 - ageS).seconds,
        )
        val cases = listOf(
            Triple("both kinds get responses", listOf(received(0, 2000)), PeerAccess.SOME_SERVED),
            Triple("reads and transactions get none", listOf(received(0, 3000)), PeerAccess.ALL_CUT_OFF),
            Triple("nothing gets a response", listOf(received(3000, 3000)), PeerAccess.ALL_CUT_OFF),
            Triple("one of two is served", listOf(received(0, 9000), received(0, 0)), PeerAccess.SOME_SERVED),
            Triple("a version without the field", listOf(received(2000, 0)), PeerAccess.SOME_SERVED),
            Triple("only an old status", listOf(received(0, 0, ageS = 3)), PeerAccess.UNKNOWN),
            Triple("one cut off, one unreachable", listOf(received(0, 9000), null), PeerAccess.ALL_CUT_OFF),
            Triple("no peer is reachable", listOf(null, null), PeerAccess.UNKNOWN),
        )
        for ((name, peers, expected) in cases) {
            assertEquals(expected, peerAccess(peers, maxStatusAge = 3.seconds, limit = 3.seconds), name)
        }
    }

    @Test
    fun `a former leader still reports the token of its term`() {
        fun received(token: Long, highestLed: Long) =
            ReceivedStatus(PeerStatus("p", 0, token, highestLedToken = highestLed), startedAt, startedAt)
        assertEquals(0, highestToken(listOf(null)))
        assertEquals(9, highestToken(listOf(received(0, 9), received(7, 7), null)))
        assertEquals(8, highestToken(listOf(received(8, 0))), "a version without the field")
    }

    @Test
    fun `the cancellation log holds every cancellation of the period it claims to be complete for`() {
        val log = CancellationLog(20.seconds, Clocks(time, Clock.System), maxEntries = 3)
        time += 5.seconds
        log.requested("job-1")
        log.confirmed("job-2")
        log.requested("job-2")
        log.withdrawn("job-2")
        assertEquals(setOf("job-1", "job-2"), log.ids, "a confirmed cancellation is not withdrawn")
        log.withdrawn("job-1")
        assertEquals(setOf("job-2"), log.ids)
        assertEquals(5.seconds, log.completeFor, "at most the age of the process")
        time += 5.seconds
        for (i in 3..5) log.confirmed("job-$i")
        assertEquals(setOf("job-3", "job-4", "job-5"), log.ids)
        assertTrue(log.completeFor <= 5.seconds, "a truncated log is not complete for the time of the dropped entries")
        time += 30.seconds
        assertTrue(log.ids.isEmpty())
        assertEquals(20.seconds, log.completeFor)
    }

    @Test
    fun `the status of another version and a corrupt one are distinguished from an empty list`() {
        val status =
            PeerStatus(
                "p",
                4000,
                7,
                cancellationsCompleteMs = 9000,
                cancelledJobs = listOf("job-1"),
                highestLedToken = 7,
            )
        assertEquals(status, PeerStatus.decode(status.encode()))
        // Encoded by the previous version: only member, silentMs and token.
        val older = byteArrayOf(0x0A, 1, 'p'.code.toByte(), 0x10, 0xA0.toByte(), 0x1F, 0x18, 7)
        assertEquals(PeerStatus("p", 4000, 7), PeerStatus.decode(older))
        val later = status.encode() + byteArrayOf(0x78, 1)
        assertEquals(status, PeerStatus.decode(later), "fields of a later version are ignored")
        assertFalse(PeerStatus("p", 4000, 7).cancellationsCompleteMs > 0)
        for (length in 1 until status.encode().size) PeerStatus.decode(status.encode().copyOf(length))
        assertEquals(null, PeerStatus.decode(byteArrayOf(-1, -1, -1, 3)))
    }
}
