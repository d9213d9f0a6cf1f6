package topazvale.reconcile

import kotlinx.coroutines.CoroutineScope
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
import topazvale.store.JobRecords
import topazvale.store.Keys
import topazvale.store.RecordWriter
import topazvale.wire.Change
import topazvale.wire.Condition
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a job that becomes active again after its end, because a stale record of it arrives after the end: in
 * a page of a listing, in a delayed watch response, or in events that the watch replays from the revision of a
 * listing's first page. The leader would add it as a new job with no task done and run it again, even if its user
 * cancelled it. It would occupy capacity and count against its team's limit.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class JobEndRacesTest {
    /** How a job ends. */
    private enum class End(val endJob: suspend Leader.() -> Unit) {
        COMMITTED({ finalizeJobs() }),
        RESPONSE_LOST({
            state.losesResponses = true
            finalizeJobs()
            state.losesResponses = false
        }),
        APPLIED_LATE({
            state.delayedWrites += 2500.milliseconds
            finalizeJobs()
            delay(1.seconds)
            finalizeJobs()
        }),
        CANCELLED_FIRST({
            writeJob(JobStatus.CANCELLED)
            finalizeJobs()
            finalizeJobs()
        }),
    }

    /** Which stale read of the job is pending when it ends. */
    private enum class StaleRead(val begin: suspend Leader.(CoroutineScope) -> Unit) {
        /** The watch's revision is too old; the listing's page with the job predates the end, and is delayed. */
        LISTING({ scope ->
            addJob()
            state.pageDelay = 3.seconds
            val from = store.revision
            store.commit(emptyList(), listOf(Change.Put("other", emptyMap())))
            store.compact()
            watch(scope, from)
        }),

        /**
         * The job is submitted after the listing's first page was read. The watch continues from that page's revision,
         * and its response is delayed.
         */
        REPLAY_AFTER_LISTING({ scope ->
            addJob()
            submitOther("job-0")
            state.pageSize = 1
            state.pageDelay = 400.milliseconds
            val from = store.revision
            store.commit(emptyList(), listOf(Change.Put("other", emptyMap())))
            store.compact()
            watch(scope, from)
            delay(200.milliseconds)
            writeJob(JobStatus.LIVE)
            state.watchDelay = 3.seconds
            delay(800.milliseconds)
        }),

        /** The same during the rebuild at the start of a term. */
        REPLAY_AFTER_REBUILD({ scope ->
            submitOther("job-0")
            state.pageSize = 1
            state.pageDelay = 400.milliseconds
            scope.launch {
                val revision = Rebuild(state, records, cluster, starts, DecisionLog(1)).run()
                state.watchDelay = 3.seconds
                watch(scope, revision)
            }
            delay(200.milliseconds)
            writeJob(JobStatus.LIVE)
            waitUntil { "job-1" in cluster.jobs }
        }),

        /** The watch response to the next write or deletion of the job's record is delayed. */
        EVENT({ scope ->
            addJob()
            state.watchDelay = 3.seconds
            watch(scope, store.revision)
            delay(100.milliseconds)
        }),
    }

    private class Leader(test: TestScope) {
        val clocks = Clocks(
            test.testScheduler.timeSource,
            object : Clock {
                override fun now() = Samples.now + test.testScheduler.currentTime.milliseconds
            },
        )
        val store = FakeStateStore(clocks)
        val state = FakeStateService(store).also { it.delayedWriteScope = test.backgroundScope }
        val records = RecordWriter(state, Condition(Keys.LEADER, 1), 16)
        val starts = StartLog(records, 1, 8192)
        val cluster = ClusterState(records, starts, 8192, clocks)
        private val lifecycle = JobLifecycle(state, records, cluster, clocks) { }

        init {
            store.commit(emptyList(), listOf(Change.Put(Keys.LEADER, mapOf("member" to "node-0"))))
            writeJob(JobStatus.LIVE)
        }

        fun submitOther(id: String) = write(JobRecord(Samples.array.copy(id = id), Samples.now, JobStatus.LIVE))

        fun writeJob(status: JobStatus) = write(JobRecord(Samples.array, Samples.now, status))

        private fun write(record: JobRecord) {
            store.commit(emptyList(), listOf(Change.Put(Keys.job(record.spec.id), JobRecords.encode(record))))
        }

        /** Makes the job known to the leader in its current state. */
        fun addJob() {
            cluster.addJob(JobRecord(Samples.array, Samples.now, JobStatus.LIVE), store.revision)
        }

        fun watch(scope: CoroutineScope, from: Long) {
            scope.launch { lifecycle.watch(from, clocks.mark()) }
        }

        suspend fun finalizeJobs() = lifecycle.finalizeJobs { }

        suspend fun waitUntil(condition: () -> Boolean) {
            while (!condition()) delay(20.milliseconds)
        }
    }

    private fun runCase(read: StaleRead, end: End) = runTest {
        val name = "$read, $end"
        val leader = Leader(this)
        read.begin(leader, backgroundScope)
        delay(50.milliseconds)
        val job = leader.cluster.jobs.getValue("job-1")
        for (index in 0 until job.spec.tasks) leader.cluster.markDone(job, index)
        end.endJob(leader)
        leader.waitUntil { leader.store.get(Keys.final("job-1")) != null }
        leader.finalizeJobs()
        assertEquals(false, "job-1" in leader.cluster.jobs, "$name: the job has ended")
        repeat(400) {
            delay(25.milliseconds)
            assertEquals(false, "job-1" in leader.cluster.jobs, "$name: the job stays ended")
        }
    }

    @Test
    fun `no stale record makes an ended job active again`() {
        val failed = StaleRead.entries.flatMap { read -> End.entries.map { read to it } }.mapNotNull { (read, end) ->
            runCatching { runCase(read, end) }.exceptionOrNull()?.message
        }
        assertEquals(emptyList<String>(), failed)
    }
}
