package topazvale.mesh

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.model.Clocks
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class WorkerContactTest {
    private val time = TestTimeSource()
    private val clocks = Clocks(time, Clock.System)
    private val startedAt = time.markNow()

    @Test
    fun `no peer hears workers only if each of them tells so`() {
        time += 20.seconds
        fun received(heardSecondsAgo: Int, ageS: Int = 1) = ReceivedStatus(
            PeerStatus("p", 0, 0, workerHeardMsAgo = heardSecondsAgo * 1000L),
            startedAt + (20 - ageS).seconds,
            startedAt + (20 - ageS).seconds,
        )
        val cases = listOf(
            Triple("both last heard workers before", listOf(received(10), received(15)), PeerContact.NO_PEER_HEARS),
            Triple("one heard a worker since", listOf(received(5), received(15)), PeerContact.SOME_PEER_HEARS),
            Triple("one heard a worker, one is unreachable", listOf(received(5), null), PeerContact.SOME_PEER_HEARS),
            Triple("one is unreachable", listOf(received(15), null), PeerContact.UNKNOWN),
            Triple("the status is old", listOf(received(15, ageS = 9)), PeerContact.UNKNOWN),
            Triple("a version without the field", listOf(received(0), received(15)), PeerContact.UNKNOWN),
            Triple("there is no peer", emptyList(), PeerContact.NO_PEER_HEARS),
        )
        for ((name, statuses, expected) in cases) {
            val contact = WorkerContact({ statuses }, clocks)
            assertEquals(expected, contact.peersHeardSince(startedAt + 10.seconds, maxStatusAge = 9.seconds), name)
        }
    }

    @Test
    fun `a process that has yielded may do so again once it hears a worker`() {
        val contact = WorkerContact({ emptyList() }, clocks)
        assertEquals(0, contact.heardMsAgo)
        contact.recordYield()
        assertTrue(contact.hasYielded)
        contact.recordReport()
        assertFalse(contact.hasYielded)
        time += 3.seconds
        assertEquals(3000, contact.heardMsAgo)
    }
}
