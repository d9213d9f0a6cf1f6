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

/**
 * Watches the job records for submissions and cancellations, and relists them when the revision of the watch is too old
 * for the state service.
 */
internal class JobWatch(
    private val state: StateService,
    private val registry: JobRegistry,
    private val clocks: Clocks,
    private val onChange: () -> Unit,
) {
    /** All requests that users made before this time are known. */
    var currentAsOf: ComparableTimeMark = clocks.mark()
        private set

    /**
     * Watches from [fromRevision] on, up to which the known jobs are complete. [readAt] is when the read that returned
     * them started.
     */
    suspend fun run(fromRevision: Long, readAt: ComparableTimeMark) {
        var since = fromRevision
        currentAsOf = readAt
        registry.advanceWatchRevision(since)
        while (true) {
            val sentAt = clocks.mark()
            when (val response = state.watch(Keys.JOBS, since, WATCH_TIMEOUT)) {
                is Outcome.Ok -> since = applyEvents(response.value, sentAt)
                is Outcome.Gone -> since = relist(sentAt)
                else -> delay(RETRY_DELAY)
            }
        }
    }

    private fun applyEvents(response: Events, sentAt: ComparableTimeMark): Long {
        // The state service specifies no order of events. In revision order a job becomes known before its end.
        response.events.sortedBy { it.version }.forEach(::applyEvent)
        registry.advanceWatchRevision(response.revision)
        currentAsOf = completeUntil(response, sentAt)
        if (response.events.isNotEmpty()) onChange()
        return response.revision
    }

    /**
     * A response covers all changes until the state service sent it. For an empty response that is the end of the wait,
     * provided that the whole wait has elapsed; any other response may have been sent as soon as the request arrived.
     */
    private fun completeUntil(response: Events, sentAt: ComparableTimeMark): ComparableTimeMark {
        val wait = WATCH_TIMEOUT * CLOCK_DRIFT_FACTOR
        return if (response.events.isEmpty() && sentAt.elapsedNow() >= wait) sentAt + wait else sentAt
    }

    private fun applyEvent(event: Event) {
        val data = event.data
        if (data == null) {
            registry.markEnded(idOf(event.key), event.version, RecordSource.EVENT)
        } else {
            applyEntry(Entry(event.key, data, event.version), RecordSource.EVENT)
        }
    }

    private fun applyEntry(entry: Entry, source: RecordSource) {
        val record = Records.readOrNull(entry.key, entry.data, JobRecords::decode) ?: return
        registry.applyRecord(record, entry.version, source)
    }

    /**
     * Lists all job records and returns the revision of the listing's first page. The watch continues from there, so it
     * may deliver changes again that later pages already contain.
     */
    private suspend fun relist(sentAt: ComparableTimeMark): Long = registry.withPendingRead(RecordSource.LIST) { read ->
        val listing = state.listAllWithRetry(Keys.JOBS)
        listing.entries.forEach { applyEntry(it, read.source) }
        registry.advanceWatchRevision(listing.revision)
        currentAsOf = sentAt
        onChange()
        listing.revision
    }

    private fun idOf(key: String) = key.removePrefix(Keys.JOBS)

    private companion object {
        val RETRY_DELAY = 200.milliseconds
        val WATCH_TIMEOUT = 2.seconds

        /** The leader's clock may run faster than the clock by which the state service measures the wait. */
        const val CLOCK_DRIFT_FACTOR = 0.99
    }
}
