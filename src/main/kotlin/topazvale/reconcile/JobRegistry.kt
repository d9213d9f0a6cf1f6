package topazvale.reconcile

import topazvale.model.JobRecord

/** The kind of read of the state service that returned a job's record or showed its end. */
enum class RecordSource { REBUILD, LIST, EVENT, READ }

/**
 * A read of the state service that is in progress. Its result may be as old as [minRevision], the watch revision at its
 * start.
 */
class PendingRead internal constructor(val source: RecordSource, internal val minRevision: Long)

/**
 * The jobs that have not ended. The registry alone decides whether a record that was read is newer than the known
 * state of its job.
 *
 * Records of a job arrive from several sources at once: pages of listings, watch responses and single reads. Each of
 * them may predate a change that is already known. A job id is never reused after the job has ended, and only the
 * leader of this term ends jobs. A record is therefore newer if its version is higher than the known one, or if its
 * job is unknown and has not ended.
 *
 * A tombstone marks a job that has ended, for as long as a record from before the end can still arrive: until the watch
 * has delivered all changes up to the revision of the end, and every other pending read started after that. Later reads
 * return a later revision, which cannot contain the job.
 */
class JobRegistry(private val ledger: PlacementLedger, private val log: JobLog) {
    private val activeJobs = LinkedHashMap<String, ManagedJob>()

    /** The revisions at which jobs ended, by job id. */
    private val tombstones = LinkedHashMap<String, Long>()
    private val pendingReads = HashSet<PendingRead>()

    /** The watch has delivered all changes up to this revision. */
    private var watchRevision = 0L

    /** The highest revision received so far from any source. */
    private var latestRevision = 0L

    /** The jobs that have not ended, by id, in the order of their submission. */
    val jobs: Map<String, ManagedJob> get() = activeJobs

    /** The number of tombstones currently held. */
    val tombstoneCount: Int get() = tombstones.size

    /** Runs a read other than the watch. [work] has to apply the result before it returns. */
    suspend fun <T> withPendingRead(source: RecordSource, work: suspend (PendingRead) -> T): T {
        val read = PendingRead(source, watchRevision)
        pendingReads += read
        try {
            return work(read)
        } finally {
            pendingReads -= read
            removeTombstones()
        }
    }

    /** Applies a job's record that was read; returns true if it is newer than the known state. */
    fun applyRecord(record: JobRecord, version: Long, source: RecordSource): Boolean {
        val id = record.spec.id
        latestRevision = maxOf(latestRevision, version)
        val known = activeJobs[id]
        val endedAt = tombstones[id]
        return when {
            endedAt != null -> false.also { log.staleRecordIgnored(id, version, endedAt, source) }
            known == null -> true.also { add(record, version, source) }
            version <= known.version -> false
            else -> true.also { known.update(record, version) }
        }
    }

    /** Adds a job that was not known and has not ended. */
    fun add(record: JobRecord, version: Long, source: RecordSource): ManagedJob {
        val id = record.spec.id
        tombstones[id]?.let { Invariants.reportViolation(ENDED_JOB_ADDED, "$id of version $version, ended at $it") }
        latestRevision = maxOf(latestRevision, version)
        val job = ManagedJob(record, version, ledger.of(id), knownAt = latestRevision)
        activeJobs[id] = job
        log.jobAdded(id, version, source, watchRevision)
        return job
    }

    /** Removes a job that ended at [revision], and keeps a tombstone while a record from before may still arrive. */
    fun markEnded(id: String, revision: Long, source: RecordSource) {
        val job = activeJobs.remove(id)
        latestRevision = maxOf(latestRevision, revision)
        if (revision > oldestReadRevision()) tombstones[id] = revision
        if (job == null) return
        // This check does not depend on tombstones: a job that ended before it became known must not have been added.
        if (revision <= job.knownAt) {
            Invariants.reportViolation(ENDED_JOB_ADDED, "$id known at ${job.knownAt}, ended at $revision")
        }
        ledger.removeIfEmpty(id)
        log.jobEnded(id, job, revision, source)
    }

    /** The watch has delivered all changes up to [revision], and they have been applied. */
    fun advanceWatchRevision(revision: Long) {
        watchRevision = maxOf(watchRevision, revision)
        latestRevision = maxOf(latestRevision, watchRevision)
        removeTombstones()
    }

    /** The oldest revision whose records can still arrive. */
    private fun oldestReadRevision(): Long = pendingReads.minOfOrNull { it.minRevision } ?: watchRevision

    private fun removeTombstones() {
        if (tombstones.isEmpty()) return
        val oldest = oldestReadRevision()
        tombstones.values.removeAll { it <= oldest }
    }

    private companion object {
        const val ENDED_JOB_ADDED = "ended_job_added"
    }
}
