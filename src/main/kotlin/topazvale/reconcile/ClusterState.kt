package topazvale.reconcile

import topazvale.model.Clocks
import topazvale.model.JobRecord
import topazvale.model.JobSpec
import topazvale.model.MachineType
import topazvale.model.Market
import topazvale.model.Resources
import topazvale.model.Start
import topazvale.store.ChunkRecords
import topazvale.store.Keys
import topazvale.store.MachineGroupRecord
import topazvale.store.RecordWriter
import topazvale.store.TaskCountRecord
import kotlin.time.Instant

/**
 * The leader's view of all jobs, machines and placements. Changes that must survive the leader are passed to the record
 * writer as they are made. Not thread-safe: used only on the event loop.
 */
class ClusterState(
    private val records: RecordWriter,
    private val startLog: StartLog,
    private val valueBytes: Int,
    private val clocks: Clocks,
    /** The fencing tokens of the term, under which workers are commanded. */
    val tokens: FencingTokens = FencingTokens(records.term, records::confirmedRevision),
) {
    /** All tracked placements. */
    val ledger = PlacementLedger()

    /** Decides which starts may leave. */
    val admission = StartAdmission(this, AdmissionLog(records.term))

    /** What this term did with its most recent starts. */
    val startHistory = StartHistory(clocks)

    /** The unfinished jobs, with the rules by which records of them are accepted. */
    val registry = JobRegistry(ledger, JobLog(records.term))

    /** The unfinished jobs by id, in the order of their submission. */
    val jobs: Map<String, ManagedJob> get() = registry.jobs

    /** The rented machines by name. */
    val machines = LinkedHashMap<String, ManagedMachine>()

    /** The cloud's machine types with their current prices, by name; empty until the first price list arrives. */
    var types: Map<String, MachineType> = emptyMap()

    private val returned = ReturnedMachines()

    /** Whether the machine was returned in this term; any report or listing of it that still arrives is stale. */
    fun isReturned(host: String) = host in returned

    /** Adds an unfinished job that was read when the term began. */
    fun addJob(record: JobRecord, version: Long): ManagedJob = registry.add(record, version, RecordSource.REBUILD)

    /**
     * Adds machines that have no record yet and records them as one group. [rentedInThisTerm] means that this leader
     * has just rented them.
     */
    fun addMachines(name: String, market: Market, rentedAt: Instant, hosts: List<String>, rentedInThisTerm: Boolean) {
        val group = MachineGroup(Keys.group(name), market, rentedAt)
        for (host in hosts.filter { it !in machines && it !in returned }) {
            addMachine(host, group, rentedInThisTerm)
        }
        if (group.machines.isNotEmpty()) group.ticket = records.put(group.key) { group.record(valueBytes) }
    }

    /** Adds the machines of a group that is already recorded. */
    fun loadGroup(key: String, record: MachineGroupRecord) {
        val group = MachineGroup(key, record.market, record.rented)
        for ((host, images) in record.images) {
            images.forEach(addMachine(host, group, rentedInThisTerm = false)::recordImageUse)
        }
    }

    private fun addMachine(host: String, group: MachineGroup, rentedInThisTerm: Boolean): ManagedMachine {
        val machine = ManagedMachine(host, group, rentedInThisTerm, CommandToken(tokens.term), clocks)
        machines[host] = machine
        return machine
    }

    /** Tracks a placement of the task on the machine. */
    fun place(start: Start, machine: ManagedMachine, session: Long, origin: PlacementOrigin): PlacedTask {
        val placed = PlacedTask(start, machine, session, jobs[start.task.job]?.spec, origin)
        ledger.add(placed)
        return placed
    }

    /**
     * Removes a placement whose task is confirmed absent; [reported] means that the worker's report of the task's exit
     * confirmed it.
     */
    fun removePlacement(placed: PlacedTask, reported: Boolean) {
        ledger.remove(placed)
        val job = jobs[placed.start.task.job]
        if (job == null) ledger.removeIfEmpty(placed.start.task.job) else dropStaleFetch(placed.machine, job.spec.image)
        startLog.startEnded(placed, reported)
    }

    /** Marks the task as done and records it. A replica of a service is never done. */
    fun markDone(job: ManagedJob, index: Int) {
        if (job.done.get(index) || index >= job.spec.tasks || job.spec.isService) return
        job.done.set(index)
        job.doneCount++
        val chunk = index / Keys.CHUNK_TASKS
        records.putDeferred(Keys.chunk(job.spec.id, chunk)) { ChunkRecords.encode(job.done, chunk) }
    }

    /** Notes that a start was assigned to the machine, which has to fetch the image unless it caches it. */
    fun imageFetchStarted(machine: ManagedMachine, spec: JobSpec) {
        if (machine.recordImageUse(spec.image)) machine.fetchingImages[spec.image] = spec.imageGb
    }

    /** Notes that a task on the machine has its image. */
    fun imageFetched(machine: ManagedMachine, image: String) {
        val wasFetching = machine.fetchingImages.remove(image) != null
        if (machine.recordImageUse(image) || wasFetching) {
            records.putDeferred(machine.group.key) { machine.group.record(valueBytes) }
        }
    }

    /** Forgets a pending fetch once no task on the machine needs the image: the worker abandons such a fetch. */
    private fun dropStaleFetch(machine: ManagedMachine, image: String) {
        if (image !in machine.fetchingImages ||
            machine.placements.keys.any { jobs[it.task.job]?.spec?.image == image }
        ) {
            return
        }
        machine.fetchingImages -= image
        machine.images -= image
    }

    /** Schedules the write of the task counts that users see when they poll the job. */
    fun publishCounts(job: ManagedJob) {
        records.putBackground(Keys.taskCounts(job.spec.id)) {
            TaskCountRecord(job.doneCount, job.runningTasks).encode()
        }
    }

    /** Removes a machine that was returned to the cloud, with all its placements. */
    fun removeReturned(machine: ManagedMachine) {
        machine.placements.values.toList().forEach { removePlacement(it, reported = false) }
        machines.remove(machine.host)
        returned += machine.host
        val group = machine.group
        group.machines.remove(machine.host)
        if (group.machines.isEmpty()) {
            records.delete(group.key)
        } else {
            records.putDeferred(group.key) { group.record(valueBytes) }
        }
    }

    /** The resources in use, by team; includes finished jobs as long as any of their tasks may be on a machine. */
    fun usage(): Map<String, Resources> = ledger.usage { jobs[it]?.spec }

    /** Whether [usage] covers every placement; if not, any team may use more than it shows. */
    val isUsageComplete: Boolean get() = ledger.isUsageComplete { jobs[it]?.spec }
}
