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

/** Finalizes finished jobs: replaces a job's record by one that holds only its final state. */
internal class JobFinalizer(
    private val state: StateService,
    private val records: RecordWriter,
    private val registry: JobRegistry,
) {
    /**
     * Finalizes all finished jobs. After an outage many jobs finish at once, so [afterEach] lets the caller write
     * pending starts after each of them.
     */
    suspend fun finalizeJobs(afterEach: suspend () -> Unit) {
        for (job in registry.jobs.values.toList()) {
            if (!isFinished(job)) continue
            finalizeJob(job)
            afterEach()
        }
    }

    private fun isFinished(job: ManagedJob) = job.placements.isEmpty() && (job.isComplete || !job.isLive)

    private suspend fun finalizeJob(job: ManagedJob) {
        val id = job.spec.id
        job.isFinalizing = true
        val status = if (job.isLive) JobStatus.DONE else JobStatus.CANCELLED
        val lastChunk = (job.spec.tasks - 1) / Keys.CHUNK_TASKS
        val commit = records.finalizeJob(
            listOf(Condition(Keys.job(id), job.version)),
            listOf(Change.Delete(Keys.job(id)), Change.Put(Keys.final(id), JobRecords.encodeFinal(status))),
            (0..lastChunk).map { Keys.chunk(id, it) } + Keys.taskCounts(id),
        )
        when (commit) {
            is Commit.Done -> registry.markEnded(id, commit.revision, RecordSource.READ)
            is Commit.Failed, is Commit.Unknown -> refresh(id)
            else -> delay(RETRY_DELAY)
        }
        job.isFinalizing = false
    }

    /**
     * Reads the job's key after a commit that failed or has an unknown outcome: either a user cancelled the job first,
     * or the response to this leader's commit was lost.
     */
    private suspend fun refresh(id: String) = registry.withPendingRead(RecordSource.READ) { read ->
        when (val found = state.get(Keys.job(id))) {
            is Outcome.Ok -> {
                val record = Records.readOrNull(found.value.key, found.value.data, JobRecords::decode)
                if (record != null) registry.applyRecord(record, found.value.version, read.source)
            }

            is Outcome.Gone -> {
                // One transaction deletes the job's record and writes its final state, so both have the same revision.
                val final = state.get(Keys.final(id))
                if (final is Outcome.Ok) registry.markEnded(id, final.value.version, read.source)
            }

            else -> delay(RETRY_DELAY)
        }
    }

    private companion object {
        val RETRY_DELAY = 200.milliseconds
    }
}
