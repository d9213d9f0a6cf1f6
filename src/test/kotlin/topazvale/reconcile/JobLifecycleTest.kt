package topazvale.reconcile

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.fake.FakeStateService
import topazvale.fake.FakeStateStore
import topazvale.model.Clocks
import topazvale.model.JobRecord
import topazvale.model.JobStatus
import topazvale.state.Outcome
import topazvale.state.StateService
import topazvale.store.JobRecords
import topazvale.store.Keys
import topazvale.store.RecordWriter
import topazvale.wire.Change
import topazvale.wire.Condition
import topazvale.wire.Events
import topazvale.wire.Page
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The watch is told that its revision is too old, and the leader reads all jobs anew. A job that ends while that list is
 * on its way is still in it, and was taken for a new one with nothing done. Shown by the list of the leader's jobs two
 * seconds after the end: `expected: <[]> but was: <[job-1]>`. [JobEndRacesTest] has all ways to it that are known.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class JobLifecycleTest {
    /** The watch is told once that its revision is too old; the list of all jobs that follows takes its time. */
    private class LateListing(private val inner: StateService) : StateService by inner {
        private var watches = 0

        override suspend fun watch(prefix: String, since: Long, wait: Duration): Outcome<Events> =
            if (watches++ == 0) Outcome.Gone else inner.watch(prefix, since, wait)

        override suspend fun list(prefix: String, after: String?): Outcome<Page> =
            inner.list(prefix, after).also { delay(500.milliseconds) }
    }

    @Test
    fun `a job that ends while all jobs are listed anew does not come back`() = runTest {
        val clocks = virtualClocks()
        val store = FakeStateStore(clocks)
        store.commit(emptyList(), listOf(Change.Put(Keys.LEADER, mapOf("member" to "node-0"))))
        val record = JobRecord(Samples.array, Samples.now, JobStatus.LIVE)
        store.commit(emptyList(), listOf(Change.Put(Keys.job("job-1"), JobRecords.encode(record))))
        val state = LateListing(FakeStateService(store))
        val records = RecordWriter(state, Condition(Keys.LEADER, 1), 16)
        val cluster = ClusterState(records, StartLog(records, 1, 8192), 8192, clocks)
        val job = cluster.addJob(record, store.revision)
        val lifecycle = JobLifecycle(state, records, cluster, clocks) { }
        backgroundScope.launch { lifecycle.watch(store.revision, clocks.mark()) }
        delay(100.milliseconds)
        for (index in 0 until job.spec.tasks) cluster.markDone(job, index)
        lifecycle.finalizeJobs { }
        assertEquals(emptySet<String>(), cluster.jobs.keys, "it is over")
        delay(2.seconds)
        assertEquals(emptySet<String>(), cluster.jobs.keys, "and stays so")
    }

    private fun TestScope.virtualClocks() = Clocks(
        testScheduler.timeSource,
        object : Clock {
            override fun now() = Samples.now + testScheduler.currentTime.milliseconds
        },
    )
}
