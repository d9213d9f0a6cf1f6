package topazvale.mesh

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class PeersTest {
    private val time = TestTimeSource()
    private val began = time.markNow()

    @Test
    fun `only the silence of every peer for the whole time extends the grace`() {
        time += 10.seconds
        // Sure until 5 s; both peers asked at 9 s and heard at 10 s.
        fun heard(silent: Int) = Heard(PeerWord("p", silent * 1000L, 0), began + 9.seconds, began + 10.seconds)
        val cases = listOf(
            Triple("both silent since before", listOf(heard(6), heard(5)), 9.seconds),
            Triple("one was served since", listOf(heard(6), heard(4)), null),
            Triple("one says nothing", listOf(heard(6), null), null),
            Triple("no peers", emptyList(), null),
        )
        for ((name, peers, expected) in cases) {
            assertEquals(expected, commonSilence(peers, began + 5.seconds)?.let { it - began }, name)
        }
    }
}
