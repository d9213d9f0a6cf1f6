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
 * All that a leader knows of jobs and machines. Changes that have to outlive it are handed to the record writer as they
 * are made. Used on the event loop alone.
 */
class ClusterState(
    private val records: RecordWriter,
    private val starts: StartLog,
    private val valueBytes: Int,
    private val clocks: Clocks,
) {
    /** All placements that count. */
    val ledger = PlacementLedger()

    /** Which jobs there are. */
    val registry = JobRegistry(ledger, JobLog(records.term))

    /** The jobs that are not over, by id, in the order of their submission. */
    val jobs: Map<String, ManagedJob> get() = registry.jobs

    /** The machines that are rented, by name. */
    val machines = LinkedHashMap<String, ManagedMachine>()

    /** The cloud's machine types with their current prices, by name; empty before the first price list. */
    var types: Map<String, MachineType> = emptyMap()

    private val returned = ReturnedMachines()

    /** Whether the machine went back in this term: what is still heard of it is late. */
    fun isReturned(host: String) = host in returned

    /** A job that is not over was read as the term began. */
    fun addJob(record: JobRecord, version: Long): ManagedJob = registry.add(record, version, RecordSource.REBUILD)

    /** New machines, put on record together; [rentedInThisTerm]: the cloud has just given them to us. */
    fun addMachines(name: String, market: Market, rentedAt: Instant, hosts: List<String>, rentedInThisTerm: Boolean) {
        val group = MachineGroup(Keys.group(name), market, rentedAt)
        for (host in hosts.filter { it !in machines && it !in returned }) {
            machines[host] = ManagedMachine(host, market, rentedAt, group, rentedInThisTerm, clocks)
        }
        if (group.machines.isNotEmpty()) group.ticket = records.put(group.key) { group.record(valueBytes) }
    }

    /** Machines that are on record already. */
    fun loadGroup(key: String, record: MachineGroupRecord) {
        val group = MachineGroup(key, record.market, record.rented)
        for ((host, images) in record.images) {
            val machine = ManagedMachine(host, record.market, record.rented, group, rentedInThisTerm = false, clocks)
            images.forEach(machine::recordImageUse)
            machines[host] = machine
        }
    }

    /** From now on the task counts on the machine. */
    fun place(start: Start, machine: ManagedMachine, session: Long, origin: PlacementOrigin): PlacedTask {
        val placed = PlacedTask(start, machine, session, jobs[start.task.job]?.spec, origin)
        ledger.add(placed)
        return placed
    }

    /** Its task is proven to be on the machine no more; [reported]: by its worker's report of its exit. */
    fun removePlacement(placed: PlacedTask, reported: Boolean) {
        ledger.remove(placed)
        val job = jobs[placed.start.task.job]
        if (job == null) ledger.removeIfEmpty(placed.start.task.job) else giveUpFetch(placed.machine, job.spec.image)
        starts.startEnded(placed, reported)
    }

    /** The task is done for good. */
    fun markDone(job: ManagedJob, index: Int) {
        if (job.done.get(index) || index >= job.spec.tasks || job.spec.isService) return
        job.done.set(index)
        job.doneCount++
        val chunk = index / Keys.CHUNK_TASKS
        records.putDeferred(Keys.chunk(job.spec.id, chunk)) { ChunkRecords.encode(job.done, chunk) }
    }

    /** A start that needs the image is on its way to the machine. */
    fun imageFetchStarted(machine: ManagedMachine, spec: JobSpec) {
        if (machine.recordImageUse(spec.image)) machine.fetchingImages[spec.image] = spec.imageGb
    }

    /** A task that needs the image is on the machine. */
    fun imageFetched(machine: ManagedMachine, image: String) {
        val arrived = machine.fetchingImages.remove(image) != null
        if (machine.recordImageUse(image) || arrived) {
            records.putDeferred(machine.group.key) { machine.group.record(valueBytes) }
        }
    }

    /** A fetch that no task waits for any more is given up. */
    private fun giveUpFetch(machine: ManagedMachine, image: String) {
        if (image !in machine.fetchingImages ||
            machine.placements.keys.any { jobs[it.task.job]?.spec?.image == image }
        ) {
            return
        }
        machine.fetchingImages -= image
        machine.images -= image
    }

    /** Has the counts written that polls show. */
    fun publishCounts(job: ManagedJob) {
        records.putBackground(Keys.taskCounts(job.spec.id)) {
            TaskCountRecord(job.doneCount, job.runningTasks).encode()
        }
    }

    /** The machine has gone back to the cloud, and all that was on it is gone. */
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

    /** What the tasks of each team take, by team; of jobs that are over too, while something of them is there. */
    fun usage(): Map<String, Resources> = ledger.usage { jobs[it]?.spec }

    /** Whether [usage] holds all that is on machines; otherwise any team may use more than it says. */
    val isUsageComplete: Boolean get() = ledger.isUsageComplete { jobs[it]?.spec }
}
