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
    private val began = time.markNow()

    @Test
    fun `only what every peer vouches for over the whole time extends the grace`() {
        time += 10.seconds
        // Sure until 5 s; both peers asked at 9 s and heard at 10 s.
        fun heard(silent: Int, covers: Int = 0) = ReceivedStatus(
            PeerStatus("p", silent * 1000L, 0, cancellationsCompleteMs = covers * 1000L),
            began + 9.seconds,
            began + 10.seconds,
        )
        val cases = listOf(
            Triple("both silent since before", listOf(heard(6), heard(5)), 9.seconds),
            Triple("one was served since", listOf(heard(6), heard(4)), null),
            Triple("one was served since and names all it told", listOf(heard(6), heard(4, covers = 5)), 9.seconds),
            Triple("its list does not reach back far enough", listOf(heard(6), heard(4, covers = 4)), null),
            Triple("one says nothing", listOf(heard(6), null), null),
            Triple("no peers", emptyList(), null),
        )
        for ((name, peers, expected) in cases) {
            assertEquals(expected, cancellationsCompleteUntil(peers, began + 5.seconds)?.let { it - began }, name)
        }
    }

    @Test
    fun `a peer that led and leads no more still shows its token`() {
        fun heard(token: Long, led: Long) =
            ReceivedStatus(PeerStatus("p", 0, token, highestLedToken = led), began, began)
        assertEquals(0, highestToken(listOf(null)))
        assertEquals(9, highestToken(listOf(heard(0, 9), heard(7, 7), null)))
        assertEquals(8, highestToken(listOf(heard(8, 0))), "a version that does not know the field")
    }

    @Test
    fun `a list of cancellations is complete for as long as it says`() {
        val list = CancellationLog(20.seconds, Clocks(time, Clock.System), most = 3)
        time += 5.seconds
        list.requested("job-1")
        list.confirmed("job-2")
        list.requested("job-2")
        list.withdrawn("job-2")
        assertEquals(setOf("job-1", "job-2"), list.ids, "what was told stays told")
        list.withdrawn("job-1")
        assertEquals(setOf("job-2"), list.ids)
        assertEquals(5.seconds, list.completeFor, "not longer than its process lives")
        time += 5.seconds
        for (i in 3..5) list.confirmed("job-$i")
        assertEquals(setOf("job-3", "job-4", "job-5"), list.ids)
        assertTrue(list.completeFor <= 5.seconds, "cut off, it does not vouch for the time of what is left out")
        time += 30.seconds
        assertTrue(list.ids.isEmpty())
        assertEquals(20.seconds, list.completeFor)
    }

    @Test
    fun `a word of another version or a garbled one is told from an empty list`() {
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
        // As the version before wrote it: member, silentMs and token alone.
        val older = byteArrayOf(0x0A, 1, 'p'.code.toByte(), 0x10, 0xA0.toByte(), 0x1F, 0x18, 7)
        assertEquals(PeerStatus("p", 4000, 7), PeerStatus.decode(older))
        val later = status.encode() + byteArrayOf(0x78, 1)
        assertEquals(status, PeerStatus.decode(later), "fields of a later version are passed over")
        assertFalse(PeerStatus("p", 4000, 7).cancellationsCompleteMs > 0)
        for (length in 1 until status.encode().size) PeerStatus.decode(status.encode().copyOf(length))
        assertEquals(null, PeerStatus.decode(byteArrayOf(-1, -1, -1, 3)))
    }
}
