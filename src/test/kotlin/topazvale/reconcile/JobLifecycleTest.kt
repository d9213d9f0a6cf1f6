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
 * Guards against a job that becomes active again after its end. The state service rejects the watch's revision as too
 * old, and the leader relists all jobs. A job that ends while the listing is in transit is still contained in it, and
 * was added as a new job with no task done: two seconds after the end the leader's jobs were `[job-1]` instead of `[]`.
 * [JobEndRacesTest] covers all known ways to this failure.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class JobLifecycleTest {
    /** Rejects the revision of the first watch as too old, and delays the listing that follows. */
    private class DelayedListing(private val inner: StateService) : StateService by inner {
        private var watches = 0

        override suspend fun watch(prefix: String, since: Long, wait: Duration): Outcome<Events> =
            if (watches++ == 0) Outcome.Gone else inner.watch(prefix, since, wait)

        override suspend fun list(prefix: String, after: String?): Outcome<Page> =
            inner.list(prefix, after).also { delay(500.milliseconds) }
    }

    @Test
    fun `a job that ends during a relist does not become active again`() = runTest {
        val clocks = virtualClocks()
        val store = FakeStateStore(clocks)
        store.commit(emptyList(), listOf(Change.Put(Keys.LEADER, mapOf("member" to "node-0"))))
        val record = JobRecord(Samples.array, Samples.now, JobStatus.LIVE)
        store.commit(emptyList(), listOf(Change.Put(Keys.job("job-1"), JobRecords.encode(record))))
        val state = DelayedListing(FakeStateService(store))
        val records = RecordWriter(state, Condition(Keys.LEADER, 1), 16)
        val cluster = ClusterState(records, StartLog(records, 1, 8192), 8192, clocks)
        val job = cluster.addJob(record, store.revision)
        val lifecycle = JobLifecycle(state, records, cluster, clocks) { }
        backgroundScope.launch { lifecycle.watch(store.revision, clocks.mark()) }
        delay(100.milliseconds)
        for (index in 0 until job.spec.tasks) cluster.markDone(job, index)
        lifecycle.finalizeJobs { }
        assertEquals(emptySet<String>(), cluster.jobs.keys, "the job has ended")
        delay(2.seconds)
        assertEquals(emptySet<String>(), cluster.jobs.keys, "the job stays ended")
    }

    private fun TestScope.virtualClocks() = Clocks(
        testScheduler.timeSource,
        object : Clock {
            override fun now() = Samples.now + testScheduler.currentTime.milliseconds
        },
    )
}
