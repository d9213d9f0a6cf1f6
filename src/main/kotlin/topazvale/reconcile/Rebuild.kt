package topazvale.reconcile

import kotlinx.coroutines.delay
import topazvale.model.Start
import topazvale.model.TaskId
import topazvale.state.Listing
import topazvale.state.Outcome
import topazvale.state.StateService
import topazvale.state.listAll
import topazvale.store.ChunkRecords
import topazvale.store.JobRecords
import topazvale.store.Keys
import topazvale.store.MachineGroupRecord
import topazvale.store.RecordWriter
import topazvale.store.Records
import topazvale.store.StartRecords
import topazvale.store.StartRow
import topazvale.wire.Entry
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Rebuilds a new leader's cluster state from the records of former leaders; runs once, before the loops start. */
class Rebuild(
    private val state: StateService,
    private val records: RecordWriter,
    private val cluster: ClusterState,
    private val startLog: StartLog,
    private val decisions: DecisionLog,
) {
    private val admissionLog = AdmissionLog(records.term)
    private val unreadableJobs = HashSet<String>()

    /**
     * Whether all records of starts and machines could be read. If not, unknown tasks may run until their workers
     * report them or the leases that a former leader renewed expire.
     */
    var complete = true
        private set

    /** Rebuilds the cluster state; returns the revision from which the jobs must be watched. */
    suspend fun run(): Long {
        val jobs = listRecords(Keys.JOBS)
        jobs.entries.forEach(::loadJob)
        // A transaction without a response may be carried out after the former leader stopped tracking its key. Only a
        // rebuild removes what that leaves behind of a finished job.
        for (e in read(Keys.CHUNKS)) {
            loadChunk(e)
        }
        for (job in cluster.jobs.values) job.doneCount = job.done.cardinality()
        for (e in read(Keys.TASK_COUNTS)) if (isFinished(e.key.removePrefix(Keys.TASK_COUNTS))) records.delete(e.key)
        for (e in read(Keys.GROUPS)) {
            decodeOrIncomplete(e, MachineGroupRecord::decode)?.let { cluster.loadGroup(e.key, it) }
        }
        placeRecorded(read(Keys.STARTS))
        return jobs.revision
    }

    private fun loadJob(entry: Entry) {
        val id = entry.key.removePrefix(Keys.JOBS)
        val record = Records.readOrNull(entry.key, entry.data, JobRecords::decode)
        if (record == null) unreadableJobs += id else cluster.addJob(record, entry.version)
    }

    private fun isFinished(id: String) = id !in cluster.jobs && id !in unreadableJobs

    private fun loadChunk(entry: Entry) {
        val (id, chunk) = entry.key.removePrefix(Keys.CHUNKS).split('/')
        val job = cluster.jobs[id]
        when {
            isFinished(id) || job?.spec?.isService == true -> records.delete(entry.key)

            // An unreadable chunk only costs extra starts: the worker still knows the result of a task that is done.
            job != null -> Records.readOrNull(entry.key, entry.data) {
                ChunkRecords.decodeInto(it, chunk.toInt(), job.done)
            }
        }
    }

    private fun <T : Any> decodeOrIncomplete(entry: Entry, decode: (Map<String, Any?>) -> T): T? =
        Records.readOrNull(entry.key, entry.data, decode).also { if (it == null) complete = false }

    private suspend fun read(prefix: String): List<Entry> =
        listRecords(prefix).entries.onEach { records.loadVersion(it.key, it.version) }

    private suspend fun listRecords(prefix: String): Listing {
        val startedAt = TimeSource.Monotonic.markNow()
        val listing = state.listAllWithRetry(prefix)
        decisions.recordsRead(prefix, listing.entries.size, listing.revision, startedAt.elapsedNow())
        return listing
    }

    private fun placeRecorded(entries: List<Entry>) {
        val batches = HashMap<StartBatch, List<StartRow>>()
        for (entry in entries) {
            val rows = decodeOrIncomplete(entry, StartRecords::decode) ?: continue
            batches[StartBatch(entry.key)] = rows
        }
        val highestAttempts = HashMap<Any, Long>()
        for (row in batches.values.flatten()) {
            for (index in row.tasks) highestAttempts.merge(startUnit(row, index), row.attempt, ::maxOf)
        }
        for ((batch, rows) in batches) {
            for (row in rows) placeHighestAttempts(batch, row, highestAttempts)
            if (batch.live.isEmpty() && rows.none { it.job in unreadableJobs }) records.delete(batch.key)
        }
    }

    private fun placeHighestAttempts(batch: StartBatch, row: StartRow, highestAttempts: Map<Any, Long>) {
        for (index in row.tasks) {
            if (row.attempt == highestAttempts[startUnit(row, index)]) place(batch, row, index)
        }
    }

    /** The unit that is started together: a whole gang, or a single task. */
    private fun startUnit(row: StartRow, index: Int): Any =
        if (cluster.jobs[row.job]?.spec?.isGang == true) row.job else TaskId(row.job, index)

    /**
     * Tracks a recorded start, unless its task is known to be absent. No task of a finished job is left, because its
     * end is recorded after its last task is absent. A job whose record cannot be read is not finished, so its starts
     * are tracked. No task is left on a machine without a record, because a machine is recorded before its starts, and
     * its record is removed only after it is returned.
     */
    private fun place(batch: StartBatch, row: StartRow, index: Int) {
        val job = cluster.jobs[row.job]
        if (job == null && row.job !in unreadableJobs) return
        if (job != null && !job.spec.isGang && job.done.get(index)) return
        val machine = cluster.machines[row.host] ?: return
        val placed = cluster.place(
            Start(TaskId(row.job, index), row.attempt),
            machine,
            row.session,
            PlacementOrigin.RECORDED,
        )
        // The job's record cannot be read, so a cancellation may be missed: the task stops, like an orphaned one.
        if (job == null) placed.stopRequest = StopRequest(StopReason.STRAY, Duration.ZERO)
        startLog.loadRecorded(placed, batch)
        admissionLog.recordedPlacement(placed, batch.key)
        machine.session = maxOf(machine.session, row.session)
    }
}

/** All entries below a prefix; retries until the listing succeeds. */
suspend fun StateService.listAllWithRetry(prefix: String): Listing {
    while (true) {
        val outcome = listAll(prefix)
        if (outcome is Outcome.Ok) return outcome.value
        delay(RETRY_INTERVAL)
    }
}

private val RETRY_INTERVAL = 200.milliseconds
