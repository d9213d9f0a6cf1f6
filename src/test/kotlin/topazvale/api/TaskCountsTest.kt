package topazvale.api

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.fake.FakeStateService
import topazvale.fake.FakeStateStore
import topazvale.model.Clocks
import topazvale.store.Keys
import topazvale.store.TaskCountRecord
import topazvale.wire.Change
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class TaskCountsTest {
    /** Guards against a slow listing that replaces the counts of a later, faster listing with its own older counts. */
    @Test
    fun `the counts of a delayed listing do not replace newer counts`() = runTest {
        val clock = object : Clock {
            override fun now() = Samples.now + testScheduler.currentTime.milliseconds
        }
        val clocks = Clocks(testScheduler.timeSource, clock)
        val store = FakeStateStore(clocks)
        val state = FakeStateService(store)
        val counts = TaskCounts(state, clocks)
        write(store, done = 1)
        state.pageDelay = 5.seconds
        launch { counts.of("job-1") }
        delay(1.seconds)
        write(store, done = 2)
        state.pageDelay = Duration.ZERO
        var highest = 0
        repeat(100) {
            delay(100.milliseconds)
            val done = counts.of("job-1")?.done ?: 0
            assertEquals(maxOf(highest, done), done, "at ${testScheduler.currentTime} ms")
            highest = done
        }
        assertEquals(2, highest)
    }

    private fun write(store: FakeStateStore, done: Int) {
        val record = TaskCountRecord(done, running = 0).encode()
        store.commit(emptyList(), listOf(Change.Put(Keys.taskCounts("job-1"), record)))
    }
}
