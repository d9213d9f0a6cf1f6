package topazvale.reconcile

import topazvale.model.JobRecord

/** By which reading of the state service a job's record, or its end, came to be known. */
enum class RecordSource { REBUILD, LIST, EVENT, READ }

/** A reading of the state service under way: what it brings may be as old as [provenBefore]. */
class PendingRead internal constructor(val source: RecordSource, internal val provenBefore: Long)

/**
 * The jobs that are not over, and the one place that decides whether what was read of a job is news.
 *
 * Records of a job arrive by several ways at once: listings page by page, a watch's answers, single reads. Any of them
 * may have been made before a change that is known already. A job's id is never used again once the job is over, and
 * only the leader of this term ends jobs. So a record is news if its version is higher than the known one, or if its
 * job is not known and has not ended.
 *
 * That a job has ended is remembered for as long as a record from before its end can still arrive: until the watch has
 * told of all changes up to the revision of the end, and every other reading under way was begun after that. What is
 * read later is as of a later revision, and cannot hold the job.
 */
class JobRegistry(private val ledger: PlacementLedger, private val log: JobLog) {
    private val live = LinkedHashMap<String, ManagedJob>()

    /** The revisions at which jobs ended, by id. */
    private val ended = LinkedHashMap<String, Long>()
    private val underWay = HashSet<PendingRead>()

    /** The watch has told of all changes up to this revision. */
    private var proven = 0L

    /** The highest revision that is known to exist. */
    private var latest = 0L

    /** The jobs that are not over, by id, in the order of their submission. */
    val jobs: Map<String, ManagedJob> get() = live

    /** Of how many jobs the end is remembered. */
    val tombstoneCount: Int get() = ended.size

    /** Runs a reading other than the watch; what it brings has to be taken in within [work]. */
    suspend fun <T> withPendingRead(source: RecordSource, work: suspend (PendingRead) -> T): T {
        val reading = PendingRead(source, proven)
        underWay += reading
        try {
            return work(reading)
        } finally {
            underWay -= reading
            forgetEnds()
        }
    }

    /** A record of a job that is not over was read; true where it is news. */
    fun applyRecord(record: JobRecord, version: Long, source: RecordSource): Boolean {
        val id = record.spec.id
        latest = maxOf(latest, version)
        val known = live[id]
        val endedAt = ended[id]
        return when {
            endedAt != null -> false.also { log.oldRecordIgnored(id, version, endedAt, source) }
            known == null -> true.also { add(record, version, source) }
            version <= known.version -> false
            else -> true.also { known.update(record, version) }
        }
    }

    /** A job that is not over has become known. */
    fun add(record: JobRecord, version: Long, source: RecordSource): ManagedJob {
        val id = record.spec.id
        ended[id]?.let { Invariants.reportViolation(ENDED_JOB_ADDED, "$id of version $version, ended at $it") }
        latest = maxOf(latest, version)
        val job = ManagedJob(record, version, ledger.of(id), knownAt = latest)
        live[id] = job
        log.known(id, version, source, proven)
        return job
    }

    /** The job ended, at this revision. */
    fun markEnded(id: String, revision: Long, source: RecordSource) {
        val job = live.remove(id)
        latest = maxOf(latest, revision)
        if (revision > oldestView()) ended[id] = revision
        if (job == null) return
        // Independent of what is remembered: a job that ended before it was added should not have been.
        if (revision <= job.knownAt) {
            Invariants.reportViolation(ENDED_JOB_ADDED, "$id known at ${job.knownAt}, ended at $revision")
        }
        ledger.removeIfEmpty(id)
        log.ended(id, job, revision, source)
    }

    /** The watch has told of all changes up to the revision, and they have been taken in. */
    fun advanceWatchRevision(revision: Long) {
        proven = maxOf(proven, revision)
        latest = maxOf(latest, proven)
        forgetEnds()
    }

    /** The oldest revision as of which a record can still arrive. */
    private fun oldestView(): Long = underWay.minOfOrNull { it.provenBefore } ?: proven

    private fun forgetEnds() {
        if (ended.isEmpty()) return
        val oldest = oldestView()
        ended.values.removeAll { it <= oldest }
    }

    private companion object {
        const val ENDED_JOB_ADDED = "ended_job_added"
    }
}
