package topazvale.reconcile

import topazvale.model.Clocks
import topazvale.model.JobRecord
import topazvale.model.JobSpec
import topazvale.model.JobStatus
import topazvale.model.MachineType
import topazvale.model.Market
import topazvale.model.Resources
import topazvale.model.Start
import topazvale.model.TaskState
import topazvale.store.ChunkRecords
import topazvale.store.TaskCountRecord
import topazvale.store.MachineGroupRecord
import topazvale.store.Keys
import topazvale.store.RecordWriter
import java.util.BitSet
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class ManagedJob(var record: JobRecord, var version: Long) {
    val spec get() = record.spec
    val done = BitSet()
    var doneCount = 0
    val placed = LinkedHashMap<Int, PlacedTask>()

    /** A job that fails wherever it starts is tried less and less often. */
    var failures = 0

    /** The machines on which it has failed since a task of it last succeeded. */
    private val failedOn = HashSet<String>()
    var notBefore: ComparableTimeMark? = null
    var finishing = false

    /** Replicas that ended by themselves, with how often in a row and until when they rest. */
    private val ended = HashMap<Int, ReplicaBackoff>()

    /** Some node has told its user that it is cancelled, or may have: nothing of it may run, whatever its record says. */
    var reportedCancelled = false
    val complete get() = doneCount == spec.tasks && !spec.isService
    val live get() = record.status == JobStatus.LIVE
    val wanted get() = live && !reportedCancelled
    val pending get() = spec.tasks - doneCount - placed.keys.count { !done.get(it) } -
        ended.count { (i, e) -> i !in placed && e.rests }
    val running get() = placed.values.count { it.state == TaskState.RUNNING || it.state == TaskState.SAVING }

    /** A replica has ended by itself, after it ran for [ran]; [rest]: how long it rests after so many times in a row. */
    fun replicaEnded(index: Int, ran: Duration, now: ComparableTimeMark, rest: (Int) -> Duration) {
        val times = if (ran > STABLE) 1 else (ended[index]?.times ?: 0) + 1
        if (ran > STABLE) succeeded()
        ended[index] = ReplicaBackoff(times, now + rest(times))
    }

    /**
     * A task has failed on the machine; whether that speaks against the machine. A job that fails on one machine after
     * the other was submitted with a mistake: without that all machines it meets would be returned, with whatever else
     * runs there.
     */
    fun failedOn(host: String): Boolean {
        failedOn += host
        return failedOn.size <= MOST_FAULTY_MACHINES
    }

    fun succeeded() {
        failures = 0
        failedOn.clear()
    }

    fun nextTasks(count: Int): List<Int> {
        val found = ArrayList<Int>(count)
        var i = done.nextClearBit(0)
        while (found.size < count && i < spec.tasks) {
            if (i !in placed && ended[i]?.rests != true) found += i
            i = done.nextClearBit(i + 1)
        }
        return found
    }

    private companion object {
        /** A replica that served for this long had no fault from its start. */
        val STABLE = 60.seconds

        /** Machines are seldom faulty: a job on which so many fail is at fault itself. */
        const val MOST_FAULTY_MACHINES = 2
    }
}

/** A replica that ends again and again is started less and less often, and its fellows as ever. */
class ReplicaBackoff(val times: Int, private val until: ComparableTimeMark) {
    val rests get() = until.hasNotPassedNow()
}

/** The leader's picture of jobs and machines, with what it has on record of them. */
class ClusterState(
    private val records: RecordWriter,
    private val starts: StartLog,
    private val valueBytes: Int,
    private val clocks: Clocks,
) {
    val jobs = LinkedHashMap<String, ManagedJob>()
    val machines = LinkedHashMap<String, ManagedMachine>()
    var types: Map<String, MachineType> = emptyMap()

    /** Machines that went back in this term. Their names are never used again, but late words of theirs may come. */
    private val returned = HashSet<String>()

    fun isReturned(host: String) = host in returned

    /** New machines, put on record together; [ours]: the cloud has just given them to us. */
    fun add(name: String, market: Market, rented: Instant, hosts: List<String>, ours: Boolean) {
        val group = MachineGroup(Keys.group(name), market, rented)
        for (host in hosts) {
            if (host !in machines &&
                host !in returned
            ) {
                machines[host] = ManagedMachine(host, market, rented, group, ours, clocks)
            }
        }
        if (group.machines.isNotEmpty()) group.ticket = records.put(group.key) { group.record(valueBytes) }
    }

    fun load(key: String, record: MachineGroupRecord) {
        val group = MachineGroup(key, record.market, record.rented)
        for ((host, images) in record.images) {
            val machine = ManagedMachine(host, record.market, record.rented, group, ours = false, clocks)
            images.forEach(machine::holds)
            machines[host] = machine
        }
    }

    fun place(start: Start, machine: ManagedMachine, session: Long, need: Resources, inherited: Boolean): PlacedTask {
        val placed = PlacedTask(start, machine, session, need, inherited)
        machine.add(placed)
        jobs[start.task.job]?.placed?.set(start.task.index, placed)
        return placed
    }

    /** Its task is proven to be on the machine no more; [heard]: by the worker's word for its exit. */
    fun remove(placed: PlacedTask, heard: Boolean) {
        placed.machine.remove(placed)
        val job = jobs[placed.start.task.job]
        if (job?.placed?.get(placed.start.task.index) === placed) job.placed.remove(placed.start.task.index)
        if (job != null) giveUpFetch(placed.machine, job.spec.image)
        starts.gone(placed, heard)
    }

    fun markDone(job: ManagedJob, index: Int) {
        if (job.done.get(index) || index >= job.spec.tasks || job.spec.isService) return
        job.done.set(index)
        job.doneCount++
        val chunk = index / Keys.CHUNK_TASKS
        records.later(Keys.chunk(job.spec.id, chunk)) { ChunkRecords.encode(job.done, chunk) }
    }

    /** A start that needs the image is on its way to the machine. */
    fun fetches(machine: ManagedMachine, spec: JobSpec) {
        if (machine.holds(spec.image)) machine.arriving[spec.image] = spec.imageGb
    }

    /** A task that needs the image is on the machine. */
    fun fetched(machine: ManagedMachine, image: String) {
        val arrived = machine.arriving.remove(image) != null
        if (machine.holds(image) || arrived) records.later(machine.group.key) { machine.group.record(valueBytes) }
    }

    /** A fetch that no task waits for any more is given up. */
    private fun giveUpFetch(machine: ManagedMachine, image: String) {
        if (image !in machine.arriving || machine.placed.keys.any { jobs[it.task.job]?.spec?.image == image }) return
        machine.arriving -= image
        machine.images -= image
    }

    fun publishCounts(job: ManagedJob) {
        records.last(Keys.taskCounts(job.spec.id)) { TaskCountRecord(job.doneCount, job.running).encode() }
    }

    fun forget(machine: ManagedMachine) {
        machine.placed.values.toList().forEach { remove(it, heard = false) }
        machines.remove(machine.host)
        returned += machine.host
        val group = machine.group
        group.machines.remove(machine.host)
        if (group.machines.isEmpty()) records.delete(group.key) else records.later(group.key) { group.record(valueBytes) }
    }

    fun usage(): Map<String, Resources> {
        val sums = HashMap<String, Resources>()
        for (job in jobs.values) {
            if (job.placed.isNotEmpty()) sums.merge(job.spec.team, job.spec.need * job.placed.size, Resources::plus)
        }
        return sums
    }
}
