package topazvale.leader

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.fake.FakeStateService
import topazvale.fake.FakeStateStore
import topazvale.model.Clocks
import topazvale.store.Keys
import topazvale.supervision.SupervisedScope
import topazvale.wire.Change
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class ElectionTest {
    private fun TestScope.supervised() = SupervisedScope(backgroundScope.coroutineContext) { throw it }

    private fun recording(terms: MutableList<Term>) = object : TermListener {
        override fun termBegan(term: Term) {
            terms += term
        }

        override fun termEnded(term: Term) = Unit
    }

    /**
     * Attempts and bookings are told apart by the token: it must never stand for two terms. And a term must renew the
     * lease on which its key hangs.
     */
    @Test
    fun `the record of an own former term is not taken for a campaign's success`() = runTest {
        val clocks = Clocks(testScheduler.timeSource, Clock.System)
        val store = FakeStateStore(clocks)
        val state = FakeStateService(store).also { it.later = backgroundScope }
        val terms = ArrayList<Term>()
        val election =
            Election(
                state,
                Candidate("node-0", "life"),
                4.seconds,
                supervised(),
                clocks,
                recording(terms),
            )
        val running = election.start()
        delay(2.seconds)
        store.outage = true
        terms.single().end()
        delay(10.seconds)
        state.lateWrites += 3.seconds
        // The key, which could not be removed, is still there: its lease has its full time again.
        store.outage = false
        delay(30.seconds)
        running.cancel()
        assertEquals(terms.size, terms.distinctBy { it.token }.size)
        assertEquals(store.get(Keys.LEADER)?.lease, terms.last().lease)
    }

    @Test
    fun `a leader record that cannot be read ends no election, and is waited for`() = runTest {
        val clocks = Clocks(testScheduler.timeSource, Clock.System)
        val store = FakeStateStore(clocks)
        val unreadable = Change.Put(Keys.LEADER, mapOf("member" to 7), store.grant(10.seconds))
        store.commit(emptyList(), listOf(unreadable))
        val terms = ArrayList<Term>()
        val election =
            Election(
                FakeStateService(store),
                Candidate("node-0", "life"),
                4.seconds,
                supervised(),
                clocks,
                recording(terms),
            )
        val running = election.start()
        delay(8.seconds)
        assertEquals(0, terms.size, "its lease has not ended")
        delay(12.seconds)
        running.cancel()
        assertEquals(1, terms.size)
    }

    @Test
    fun `campaigns whose answers get lost and that are carried out late never share a token or a lease`() = runTest {
        val cases = listOf(
            listOf(3.seconds, 1.seconds),
            listOf(1.seconds, 3.seconds),
            listOf(2500.milliseconds, 100.milliseconds, 4.seconds),
            listOf(Duration.ZERO, Duration.ZERO, 6.seconds),
        )
        for (late in cases) {
            val clocks = Clocks(testScheduler.timeSource, Clock.System)
            val store = FakeStateStore(clocks)
            val state = FakeStateService(store).also { it.later = backgroundScope }
            val terms = ArrayList<Term>()
            val election =
                Election(
                    state,
                    Candidate("node-0", "life"),
                    4.seconds,
                    supervised(),
                    clocks,
                    recording(terms),
                )
            state.lateWrites += late
            val running = election.start()
            repeat(4) {
                delay(10.seconds)
                // The term ends by itself, and the removal of its key is refused: the record stays as it was.
                state.lateWrites += late
                terms.lastOrNull()?.end()
            }
            delay(30.seconds)
            running.cancel()
            assertTrue(terms.size > 1, "$late")
            assertEquals(terms.map { it.token }.distinct(), terms.map { it.token }, "$late")
            assertEquals(store.get(Keys.LEADER)?.lease, terms.last().lease, "$late")
        }
    }
}
