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

    private fun recordTerms(terms: MutableList<Term>) = object : TermListener {
        override fun termBegan(term: Term) {
            terms += term
        }

        override fun termEnded(term: Term) = Unit
    }

    /**
     * Guards against two terms with the same token, which distinguishes attempts and bookings, and against a term that
     * renews another lease than the one its key is attached to. Both happen if the record that a previous term of the
     * process left behind is taken for that of a campaign with an unknown outcome.
     */
    @Test
    fun `the record of a previous term of the same process does not count as a successful campaign`() = runTest {
        val clocks = Clocks(testScheduler.timeSource, Clock.System)
        val store = FakeStateStore(clocks)
        val state = FakeStateService(store).also { it.delayedWriteScope = backgroundScope }
        val terms = ArrayList<Term>()
        val election =
            Election(
                state,
                Candidate("node-0", "life"),
                4.seconds,
                supervised(),
                clocks,
                recordTerms(terms),
            )
        val running = election.start()
        delay(2.seconds)
        store.outage = true
        terms.single().end()
        delay(10.seconds)
        state.delayedWrites += 3.seconds
        // The key could not be deleted and still exists; its lease has its full duration again.
        store.outage = false
        delay(30.seconds)
        running.cancel()
        assertEquals(terms.size, terms.distinctBy { it.token }.size)
        assertEquals(store.get(Keys.LEADER)?.lease, terms.last().lease)
    }

    @Test
    fun `an unreadable leader record does not stop the election, and its lease is awaited`() = runTest {
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
                recordTerms(terms),
            )
        val running = election.start()
        delay(8.seconds)
        assertEquals(0, terms.size, "its lease has not expired")
        delay(12.seconds)
        running.cancel()
        assertEquals(1, terms.size)
    }

    @Test
    fun `delayed campaigns whose responses are lost never share a token or a lease`() = runTest {
        val cases = listOf(
            listOf(3.seconds, 1.seconds),
            listOf(1.seconds, 3.seconds),
            listOf(2500.milliseconds, 100.milliseconds, 4.seconds),
            listOf(Duration.ZERO, Duration.ZERO, 6.seconds),
        )
        for (delays in cases) {
            val clocks = Clocks(testScheduler.timeSource, Clock.System)
            val store = FakeStateStore(clocks)
            val state = FakeStateService(store).also { it.delayedWriteScope = backgroundScope }
            val terms = ArrayList<Term>()
            val election =
                Election(
                    state,
                    Candidate("node-0", "life"),
                    4.seconds,
                    supervised(),
                    clocks,
                    recordTerms(terms),
                )
            state.delayedWrites += delays
            val running = election.start()
            repeat(4) {
                delay(10.seconds)
                // The term ends, and the deletion of its key is delayed: the record stays unchanged until then.
                state.delayedWrites += delays
                terms.lastOrNull()?.end()
            }
            delay(30.seconds)
            running.cancel()
            assertTrue(terms.size > 1, "$delays")
            assertEquals(terms.map { it.token }.distinct(), terms.map { it.token }, "$delays")
            assertEquals(store.get(Keys.LEADER)?.lease, terms.last().lease, "$delays")
        }
    }
}
