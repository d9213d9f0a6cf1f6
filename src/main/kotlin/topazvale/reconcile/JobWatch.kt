package topazvale.reconcile

import kotlinx.coroutines.delay
import topazvale.model.Clocks
import topazvale.state.Outcome
import topazvale.state.StateService
import topazvale.store.JobRecords
import topazvale.store.Keys
import topazvale.store.Records
import topazvale.wire.Entry
import topazvale.wire.Event
import topazvale.wire.Events
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Follows the jobs' records: learns what users submit and cancel, and reads all anew where the watch is too old. */
internal class JobWatch(
    private val state: StateService,
    private val registry: JobRegistry,
    private val clocks: Clocks,
    private val wake: () -> Unit,
) {
    /** Up to when all that users asked for is known here. */
    var currentAsOf: ComparableTimeMark = clocks.mark()
        private set

    /** [read]: when the reading of what is known so far began, which is complete up to the revision [from]. */
    suspend fun run(from: Long, read: ComparableTimeMark) {
        var since = from
        currentAsOf = read
        registry.advanceWatchRevision(since)
        while (true) {
            val sent = clocks.mark()
            when (val answer = state.watch(Keys.JOBS, since, WATCH)) {
                is Outcome.Ok -> since = changed(answer.value, sent)
                is Outcome.Gone -> since = readAnew(sent)
                else -> delay(RETRY)
            }
        }
    }

    private fun changed(answer: Events, sent: ComparableTimeMark): Long {
        // The service names no order. In that of the revisions a job is known before its end.
        answer.events.sortedBy { it.version }.forEach(::take)
        registry.advanceWatchRevision(answer.revision)
        currentAsOf = toldUpTo(answer, sent)
        if (answer.events.isNotEmpty()) wake()
        return answer.revision
    }

    /** An answer tells all up to when it was given: without a change that is when the wait was over, if it was. */
    private fun toldUpTo(answer: Events, sent: ComparableTimeMark): ComparableTimeMark {
        val wait = WATCH * SLOWEST_CLOCK
        return if (answer.events.isEmpty() && sent.elapsedNow() >= wait) sent + wait else sent
    }

    private fun take(event: Event) {
        val data = event.data
        if (data == null) {
            registry.markEnded(idOf(event.key), event.version, RecordSource.EVENT)
        } else {
            take(Entry(event.key, data, event.version), RecordSource.EVENT)
        }
    }

    private fun take(entry: Entry, source: RecordSource) {
        val record = Records.readOrNull(entry.key, entry.data, JobRecords::decode) ?: return
        registry.applyRecord(record, entry.version, source)
    }

    /** The watch goes on from the listing's first page, so that it may tell once more what later pages hold. */
    private suspend fun readAnew(sent: ComparableTimeMark): Long =
        registry.withPendingRead(RecordSource.LIST) { reading ->
            val listing = state.listAllWithRetry(Keys.JOBS)
            listing.entries.forEach { take(it, reading.source) }
            registry.advanceWatchRevision(listing.revision)
            currentAsOf = sent
            wake()
            listing.revision
        }

    private fun idOf(key: String) = key.removePrefix(Keys.JOBS)

    private companion object {
        val RETRY = 200.milliseconds
        val WATCH = 2.seconds

        /** Our clock may run faster than the one by which the wait was measured. */
        const val SLOWEST_CLOCK = 0.99
    }
}
