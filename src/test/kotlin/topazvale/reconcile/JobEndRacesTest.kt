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
 * A view of a job from before its end reaches the leader after the end: a page of a listing, a watch's answer under way,
 * changes replayed from the revision of a listing's first page. Taken for a new job, it would run again with nothing
 * done, or, cancelled, against its user's word; it would take room and its team's limit.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class JobEndRacesTest {
    /** How a job ends. */
    private enum class End(val play: suspend Leader.() -> Unit) {
        COMMITTED({ end() }),
        ANSWER_LOST({
            state.losingAnswers = true
            end()
            state.losingAnswers = false
        }),
        CARRIED_OUT_LATE({
            state.lateWrites += 2500.milliseconds
            end()
            delay(1.seconds)
            end()
        }),
        CANCELLED_FIRST({
            writeJob(JobStatus.CANCELLED)
            end()
            end()
        }),
    }

    /** Which older view of the job is under way meanwhile. */
    private enum class View(val before: suspend Leader.(CoroutineScope) -> Unit) {
        /** The watch is too old; the page with the job was made before the end, and takes its time. */
        LISTING({ scope ->
            load()
            state.pageDelay = 3.seconds
            val from = store.revision
            store.commit(emptyList(), listOf(Change.Put("other", emptyMap())))
            store.compact()
            watch(scope, from)
        }),

        /** The job came after the listing's first page: the watch goes on from there, and its answer takes its time. */
        REPLAY_AFTER_LISTING({ scope ->
            load()
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

        /** The same in a rebuild, at the beginning of a term. */
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
            until { "job-1" in cluster.jobs }
        }),

        /** The job's record was written anew, and the watch's answer with it takes its time. */
        EVENT({ scope ->
            load()
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
        val state = FakeStateService(store).also { it.later = test.backgroundScope }
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

        /** The leader knows the job as it stands. */
        fun load() {
            cluster.addJob(JobRecord(Samples.array, Samples.now, JobStatus.LIVE), store.revision)
        }

        fun watch(scope: CoroutineScope, from: Long) {
            scope.launch { lifecycle.watch(from, clocks.mark()) }
        }

        suspend fun end() = lifecycle.finalizeJobs { }

        suspend fun until(reached: () -> Boolean) {
            while (!reached()) delay(20.milliseconds)
        }
    }

    private fun play(view: View, end: End) = runTest {
        val name = "$view, $end"
        val leader = Leader(this)
        view.before(leader, backgroundScope)
        delay(50.milliseconds)
        val job = leader.cluster.jobs.getValue("job-1")
        for (index in 0 until job.spec.tasks) leader.cluster.markDone(job, index)
        end.play(leader)
        leader.until { leader.store.get(Keys.final("job-1")) != null }
        leader.end()
        assertEquals(false, "job-1" in leader.cluster.jobs, "$name: it is over")
        repeat(400) {
            delay(25.milliseconds)
            assertEquals(false, "job-1" in leader.cluster.jobs, "$name: and stays so")
        }
    }

    @Test
    fun `no older view of a job takes its end back`() {
        val failed = View.entries.flatMap { view -> End.entries.map { view to it } }.mapNotNull { (view, end) ->
            runCatching { play(view, end) }.exceptionOrNull()?.message
        }
        assertEquals(emptyList<String>(), failed)
    }
}
