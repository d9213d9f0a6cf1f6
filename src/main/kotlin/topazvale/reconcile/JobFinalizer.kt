package topazvale.reconcile

import kotlinx.coroutines.delay
import topazvale.model.JobStatus
import topazvale.state.Commit
import topazvale.state.Outcome
import topazvale.state.StateService
import topazvale.store.JobRecords
import topazvale.store.Keys
import topazvale.store.RecordWriter
import topazvale.store.Records
import topazvale.wire.Change
import topazvale.wire.Condition
import kotlin.time.Duration.Companion.milliseconds

/** Moves to their final key the jobs that are over. */
internal class JobFinalizer(
    private val state: StateService,
    private val records: RecordWriter,
    private val registry: JobRegistry,
) {
    /** Ends jobs that are over; [afterEach] of them starts are written: after an outage many jobs end at once. */
    suspend fun finalizeJobs(afterEach: suspend () -> Unit) {
        for (job in registry.jobs.values.toList()) {
            if (!over(job)) continue
            finish(job)
            afterEach()
        }
    }

    private fun over(job: ManagedJob) = job.placements.isEmpty() && (job.isComplete || !job.isLive)

    private suspend fun finish(job: ManagedJob) {
        val id = job.spec.id
        job.isFinalizing = true
        val status = if (job.isLive) JobStatus.DONE else JobStatus.CANCELLED
        val chunks = (job.spec.tasks - 1) / Keys.CHUNK_TASKS
        val commit = records.finalizeJob(
            listOf(Condition(Keys.job(id), job.version)),
            listOf(Change.Delete(Keys.job(id)), Change.Put(Keys.final(id), JobRecords.encodeFinal(status))),
            (0..chunks).map { Keys.chunk(id, it) } + Keys.taskCounts(id),
        )
        when (commit) {
            is Commit.Done -> registry.markEnded(id, commit.revision, RecordSource.READ)
            is Commit.Failed, is Commit.Unknown -> refresh(id)
            else -> delay(RETRY)
        }
        job.isFinalizing = false
    }

    /** A user's cancellation came first, or our own word got lost: the key tells. */
    private suspend fun refresh(id: String) = registry.withPendingRead(RecordSource.READ) { reading ->
        when (val found = state.get(Keys.job(id))) {
            is Outcome.Ok -> {
                val record = Records.readOrNull(found.value.key, found.value.data, JobRecords::decode)
                if (record != null) registry.applyRecord(record, found.value.version, reading.source)
            }

            is Outcome.Gone -> {
                // The end and the final state are one transaction, so that its revision is that of the end.
                val final = state.get(Keys.final(id))
                if (final is Outcome.Ok) registry.markEnded(id, final.value.version, reading.source)
            }

            else -> delay(RETRY)
        }
    }

    private companion object {
        val RETRY = 200.milliseconds
    }
}
