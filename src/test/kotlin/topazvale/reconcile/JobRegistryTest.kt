package topazvale.reconcile

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import topazvale.InvariantExtension
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
import topazvale.wire.Cbor
import topazvale.wire.Event
import topazvale.wire.Events
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Which records of a job the registry accepts as newer, and how long it holds the tombstones that this requires. */
@OptIn(ExperimentalCoroutinesApi::class)
class JobRegistryTest {
    private val registry = JobRegistry(PlacementLedger(), JobLog(1))

    private fun record(id: String, status: JobStatus = JobStatus.LIVE) =
        JobRecord(Samples.array.copy(id = id), Samples.now, status)

    private fun event(id: String, version: Long) =
        Event(Keys.job(id), Cbor.decodeMap(Cbor.encode(JobRecords.encode(record(id)))), version)

    @Test
    fun `a record is newer by its version, or if its job is unknown and has not ended`() {
        val cases = listOf(
            Triple(5L, JobStatus.LIVE, true),
            Triple(5L, JobStatus.LIVE, false),
            Triple(4L, JobStatus.CANCELLED, false),
            Triple(7L, JobStatus.CANCELLED, true),
            Triple(6L, JobStatus.LIVE, false),
        )
        for ((version, status, isNewer) in cases) {
            assertEquals(
                isNewer,
                registry.applyRecord(record("job-1", status), version, RecordSource.EVENT),
                "$version $status",
            )
        }
        registry.markEnded("job-1", 8, RecordSource.READ)
        for (source in RecordSource.entries) {
            for (version in listOf(5L, 7L)) {
                assertEquals(false, registry.applyRecord(record("job-1"), version, source), "$source $version")
            }
        }
        assertEquals(emptySet<String>(), registry.jobs.keys)
    }

    @Test
    fun `a tombstone stays until no record from before the end can arrive`() = runTest {
        registry.add(record("job-1"), 5, RecordSource.REBUILD)
        registry.advanceWatchRevision(9)
        registry.markEnded("job-1", 12, RecordSource.READ)
        assertEquals(1, registry.tombstoneCount, "the watch has not delivered the end yet")
        val listingDone = CompletableDeferred<Unit>()
        val listing = launch { registry.withPendingRead(RecordSource.LIST) { listingDone.await() } }
        runCurrent()
        registry.advanceWatchRevision(11)
        assertEquals(1, registry.tombstoneCount)
        registry.advanceWatchRevision(15)
        assertEquals(1, registry.tombstoneCount, "a listing that started before the end is pending")
        assertEquals(false, registry.applyRecord(record("job-1"), 5, RecordSource.LIST))
        listingDone.complete(Unit)
        listing.join()
        assertEquals(0, registry.tombstoneCount)
        registry.markEnded("job-2", 14, RecordSource.EVENT)
        assertEquals(0, registry.tombstoneCount, "an end that the watch has already passed needs no tombstone")
    }

    /** A read that is cancelled, because its term ended or it failed, must not keep tombstones from being removed. */
    @Test
    fun `the number of tombstones does not grow with the number of ended jobs`() = runTest {
        val cancelledRead = launch { registry.withPendingRead(RecordSource.LIST) { delay(Duration.INFINITE) } }
        runCurrent()
        cancelledRead.cancel()
        cancelledRead.join()
        for (i in 1..10_000L) {
            registry.add(record("job-$i"), 2 * i, RecordSource.EVENT)
            registry.markEnded("job-$i", 2 * i + 1, RecordSource.READ)
            if (i % 50 == 0L) registry.advanceWatchRevision(2 * i)
            assertTrue(registry.tombstoneCount <= 51, "${registry.tombstoneCount} tombstones after $i jobs")
        }
    }

    @Test
    @Tag(InvariantExtension.VIOLATES)
    fun `a job added again after its end is a violation, with or without a tombstone`() {
        val before = InvariantExtension.violations()
        registry.add(record("job-1"), 5, RecordSource.EVENT)
        registry.markEnded("job-1", 8, RecordSource.READ)
        assertEquals(before, InvariantExtension.violations())
        registry.add(record("job-1"), 5, RecordSource.EVENT)
        assertEquals(before + 1, InvariantExtension.violations(), "the job has a tombstone")
        registry.markEnded("job-1", 8, RecordSource.READ)
        registry.advanceWatchRevision(20)
        assertEquals(0, registry.tombstoneCount)
        val beforeSecond = InvariantExtension.violations()
        registry.add(record("job-1"), 5, RecordSource.EVENT)
        registry.markEnded("job-1", 8, RecordSource.READ)
        assertEquals(beforeSecond + 1, InvariantExtension.violations(), "the job ended before it became known")
    }

    /** Responds to each watch at once with the next of the given [responses]. */
    private class FakeWatch(private val inner: StateService, private val responses: List<Events>) :
        StateService by inner {
        private var next = 0

        override suspend fun watch(prefix: String, since: Long, wait: Duration): Outcome<Events> {
            delay(1.milliseconds)
            return responses.getOrNull(next++)?.let { Outcome.Ok(it) } ?: Outcome.Unknown
        }
    }

    private fun runWatch(vararg responses: Events, check: suspend (JobWatch) -> Unit) = runTest {
        val clock = object : Clock {
            override fun now() = Samples.now + testScheduler.currentTime.milliseconds
        }
        val clocks = Clocks(testScheduler.timeSource, clock)
        val state = FakeWatch(FakeStateService(FakeStateStore(clocks)), responses.toList())
        val watch = JobWatch(state, registry, clocks) { }
        backgroundScope.launch { watch.run(3, clocks.mark()) }
        delay(1.seconds)
        check(watch)
    }

    @Test
    fun `the events of a watch response may come in any order`() {
        val deletion = Event(Keys.job("job-1"), null, 6)
        runWatch(Events(listOf(event("job-2", 9), deletion, event("job-1", 4)), 9)) {
            assertEquals(setOf("job-2"), registry.jobs.keys)
            assertEquals(0, registry.tombstoneCount)
        }
    }

    /** An empty response was treated as covering the whole wait, however early it arrived. */
    @Test
    fun `an empty response that arrives early does not cover the rest of the wait`() =
        runWatch(Events(emptyList(), 3)) { watch ->
            assertTrue(
                watch.currentAsOf.elapsedNow() >= 900.milliseconds,
                "current as of ${watch.currentAsOf.elapsedNow()} ago",
            )
        }
}
