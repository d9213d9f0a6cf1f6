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

/** Rebuilds the cluster state of a new leader from what the former ones left on record; runs once, before the loops. */
class Rebuild(
    private val state: StateService,
    private val records: RecordWriter,
    private val cluster: ClusterState,
    private val starts: StartLog,
    private val decisions: DecisionLog,
) {
    private val unreadableJobs = HashSet<String>()

    /**
     * Whether all starts and machines on record could be read. Where not, tasks may run of which this leader knows
     * nothing until their workers report them or the leases that a former leader renewed have ended.
     */
    var complete = true
        private set

    /** The revision from which on changes of jobs have to be watched. */
    suspend fun run(): Long {
        val jobs = readAll(Keys.JOBS)
        jobs.entries.forEach(::loadJob)
        // A transaction without an answer may be carried out after its key was given up: what is left of a job that is
        // over, nobody else would remove.
        for (e in read(Keys.CHUNKS)) {
            loadChunk(e)
        }
        for (job in cluster.jobs.values) job.doneCount = job.done.cardinality()
        for (e in read(Keys.TASK_COUNTS)) if (isOver(e.key.removePrefix(Keys.TASK_COUNTS))) records.delete(e.key)
        for (e in read(Keys.GROUPS)) {
            readOrIncomplete(e, MachineGroupRecord::decode)?.let { cluster.loadGroup(e.key, it) }
        }
        placeRecorded(read(Keys.STARTS))
        return jobs.revision
    }

    private fun loadJob(entry: Entry) {
        val id = entry.key.removePrefix(Keys.JOBS)
        val record = Records.readOrNull(entry.key, entry.data, JobRecords::decode)
        if (record == null) unreadableJobs += id else cluster.addJob(record, entry.version)
    }

    private fun isOver(id: String) = id !in cluster.jobs && id !in unreadableJobs

    private fun loadChunk(entry: Entry) {
        val (id, chunk) = entry.key.removePrefix(Keys.CHUNKS).split('/')
        val job = cluster.jobs[id]
        when {
            isOver(id) || job?.spec?.isService == true -> records.delete(entry.key)

            // A mark that is lost costs a start more: the worker knows the result.
            job != null -> Records.readOrNull(entry.key, entry.data) {
                ChunkRecords.decodeInto(it, chunk.toInt(), job.done)
            }
        }
    }

    private fun <T : Any> readOrIncomplete(entry: Entry, decode: (Map<String, Any?>) -> T): T? =
        Records.readOrNull(entry.key, entry.data, decode).also { if (it == null) complete = false }

    private suspend fun read(prefix: String): List<Entry> =
        readAll(prefix).entries.onEach { records.loadVersion(it.key, it.version) }

    private suspend fun readAll(prefix: String): Listing {
        val began = TimeSource.Monotonic.markNow()
        val found = state.listAllWithRetry(prefix)
        decisions.recordsRead(prefix, found.entries.size, found.revision, began.elapsedNow())
        return found
    }

    private fun placeRecorded(entries: List<Entry>) {
        val batches = HashMap<StartBatch, List<StartRow>>()
        for (entry in entries) {
            val rows = readOrIncomplete(entry, StartRecords::decode) ?: continue
            batches[StartBatch(entry.key)] = rows
        }
        val newest = HashMap<Any, Long>()
        for (row in batches.values.flatten()) {
            for (index in row.tasks) newest.merge(unit(row, index), row.attempt, ::maxOf)
        }
        for ((batch, rows) in batches) {
            for (row in rows) placeNewest(batch, row, newest)
            if (batch.live.isEmpty() && rows.none { it.job in unreadableJobs }) records.delete(batch.key)
        }
    }

    private fun placeNewest(batch: StartBatch, row: StartRow, newest: Map<Any, Long>) {
        for (index in row.tasks) {
            if (row.attempt == newest[unit(row, index)]) place(batch, row, index)
        }
    }

    /** What is started as one: a whole gang, or a single task. */
    private fun unit(row: StartRow, index: Int): Any =
        if (cluster.jobs[row.job]?.spec?.isGang == true) row.job else TaskId(row.job, index)

    /**
     * Nothing is left anywhere of a job that is over: its end was recorded after that. One that cannot be read is not
     * over, and what runs of it counts. Nor is anything left on a
     * machine that is on record no more: it was recorded before its starts, and taken off once it had gone back.
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
        // Of a job that cannot be read nobody knows what its user wants: like a stray it must not stay.
        if (job == null) placed.stopGracePeriod = Duration.ZERO
        starts.loadRecorded(placed, batch)
        machine.session = maxOf(machine.session, row.session)
    }
}

/** All entries below a prefix, asked for until they come. */
suspend fun StateService.listAllWithRetry(prefix: String): Listing {
    while (true) {
        val found = listAll(prefix)
        if (found is Outcome.Ok) return found.value
        delay(READ_RETRY)
    }
}

private val READ_RETRY = 200.milliseconds
