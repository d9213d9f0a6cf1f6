package topazvale.reconcile

import kotlinx.coroutines.delay
import topazvale.model.Clocks
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
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Learns of jobs that users submit and cancel, and moves to their final key those that are over. */
class JobLifecycle(
    private val state: StateService,
    private val records: RecordWriter,
    private val cluster: ClusterState,
    private val clocks: Clocks,
    private val wake: () -> Unit,
) {
    /** Up to when all that users asked for is known here. */
    var seen: ComparableTimeMark = clocks.mark()
        private set

    /** [read]: when the reading of what is known so far began. */
    suspend fun watch(from: Long, read: ComparableTimeMark) {
        var since = from
        seen = read
        while (true) {
            val sent = clocks.mark()
            when (val answer = state.watch(Keys.JOBS, since, WATCH)) {
                is Outcome.Ok -> {
                    for (e in answer.value.events) changed(e.key.removePrefix(Keys.JOBS), e.data, e.version)
                    since = answer.value.revision
                    // An answer tells all up to when it was given: without a change that is when the wait was over.
                    seen = if (answer.value.events.isEmpty()) sent + WATCH * SLOWEST_CLOCK else sent
                    if (answer.value.events.isNotEmpty()) wake()
                }

                is Outcome.Gone -> {
                    val jobs = state.readAll(Keys.JOBS)
                    for (e in jobs.entries) changed(e.key.removePrefix(Keys.JOBS), e.data, e.version)
                    since = jobs.revision
                    seen = sent
                    wake()
                }

                else -> delay(RETRY)
            }
        }
    }

    private fun changed(id: String, data: Map<String, Any?>?, version: Long) {
        // Only this leader removes jobs, and has then forgotten them.
        if (data == null) return
        val known = cluster.jobs[id]
        if (known != null && version <= known.version) return
        val record = Records.readOrNull(Keys.job(id), data, JobRecords::decode) ?: return
        if (known == null) {
            cluster.addJob(record, version)
        } else {
            known.record = record
            known.version = version
        }
    }

    /** Ends jobs that are over; [between] them starts are written: after an outage many jobs end at once. */
    suspend fun end(between: suspend () -> Unit) {
        for (job in cluster.jobs.values.toList()) {
            if (!over(job)) continue
            finish(job)
            between()
        }
    }

    private fun over(job: ManagedJob) = job.placed.isEmpty() && (job.complete || !job.live)

    private suspend fun finish(job: ManagedJob) {
        val id = job.spec.id
        job.finishing = true
        val status = if (job.live) JobStatus.DONE else JobStatus.CANCELLED
        val chunks = (job.spec.tasks - 1) / Keys.CHUNK_TASKS
        val commit = records.finish(
            listOf(Condition(Keys.job(id), job.version)),
            listOf(Change.Delete(Keys.job(id)), Change.Put(Keys.final(id), JobRecords.encodeFinal(status))),
            (0..chunks).map { Keys.chunk(id, it) } + Keys.taskCounts(id),
        )
        when (commit) {
            is Commit.Done -> cluster.removeJob(id)
            is Commit.Failed, is Commit.Unknown -> refresh(job)
            else -> delay(RETRY)
        }
        job.finishing = false
    }

    /** A user's cancellation came first, or our own word got lost: the key tells. */
    private suspend fun refresh(job: ManagedJob) {
        when (val found = state.get(Keys.job(job.spec.id))) {
            is Outcome.Ok -> changed(job.spec.id, found.value.data, found.value.version)

            is Outcome.Gone -> {
                if (state.get(Keys.final(job.spec.id)) is Outcome.Ok) cluster.removeJob(job.spec.id)
            }

            else -> delay(RETRY)
        }
    }

    private companion object {
        val RETRY = 200.milliseconds
        val WATCH = 2.seconds

        /** Our clock may run faster than the one by which the wait was measured. */
        const val SLOWEST_CLOCK = 0.99
    }
}
