package topazvale.reconcile

import topazvale.model.JobRecord
import topazvale.model.JobStatus
import topazvale.model.MachineType
import topazvale.model.Market
import topazvale.model.Resources
import topazvale.model.Start
import topazvale.model.TaskState
import topazvale.store.ChunkRecords
import topazvale.store.DisplayRecord
import topazvale.store.Keys
import topazvale.store.MachineRecord
import topazvale.store.Mirror
import topazvale.store.StartRecord
import java.util.BitSet
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Instant
import kotlin.time.TimeSource

/** A start that is, or may be, on a machine. */
class Placed(val start: Start, val machine: Machine, val session: Long, val need: Resources, val inherited: Boolean) {
    /** From this ticket on the start is on record and its command may leave. */
    var ticket = 0L

    /** As last reported; null while the machine has not shown it. */
    var state: TaskState? = null
    var runningSince: ComparableTimeMark? = null

    /** The grace with which it is to stop; null while it is wanted. */
    var stop: Duration? = null

    /** Its command was given in an answer to a report, or straight. */
    var sent = false

    /** A straight command got no answer: it may still arrive as long as the session lasts. */
    var loose = false
    val onMachine get() = state != null && state != TaskState.FETCHING
}

class Machine(val host: String, val market: Market, var endpoint: String, val rented: Instant) {
    var session = 0L
    var sequence = -1L

    /** When the last report came in; null before the first to this leader. */
    var heard: ComparableTimeMark? = null

    /** Since when this leader knows of it. */
    val met: ComparableTimeMark = TimeSource.Monotonic.markNow()

    /** The highest token its worker is known to have seen. */
    var token = 0L
    var notice: ComparableTimeMark? = null
    var idleSince: ComparableTimeMark = TimeSource.Monotonic.markNow()
    var listed: ComparableTimeMark? = null
    var failed = false

    /** On its way back to the cloud: nothing starts here any more. */
    var returning = false
    var faults = 0
    val placed = LinkedHashMap<Start, Placed>()
    val images = LinkedHashSet<String>()

    /** Starts of this session that must stay in the worker's memory, as their command may come once more. */
    val keep = HashSet<Start>()

    /** The cache keeps the most recently used images, and so do we, as far as the record has space. */
    fun holds(image: String) {
        images.remove(image)
        images += image
        if (images.size > IMAGES_KEPT) images.remove(images.first())
    }

    val used: Resources get() = placed.values.fold(Resources.NONE) { sum, p -> sum + p.need }

    fun record() = MachineRecord(market, endpoint, rented, placed.values.map { StartRecord(it.start, it.session) }, images.toList())

    private companion object {
        const val IMAGES_KEPT = 12
    }
}

class Job(var record: JobRecord, var version: Long) {
    val spec get() = record.spec
    val done = BitSet()
    var doneCount = 0
    val placed = LinkedHashMap<Int, Placed>()

    /** A job that fails wherever it starts is tried less and less often. */
    var failures = 0
    var notBefore: ComparableTimeMark? = null
    var finishing = false
    val complete get() = doneCount == spec.tasks
    val live get() = record.status == JobStatus.LIVE
    val pending get() = spec.tasks - doneCount - placed.keys.count { !done.get(it) }
    val running get() = placed.values.count { it.state == TaskState.RUNNING || it.state == TaskState.SAVING }

    fun nextTasks(count: Int): List<Int> {
        val found = ArrayList<Int>(count)
        var i = done.nextClearBit(0)
        while (found.size < count && i < spec.tasks) {
            if (i !in placed) found += i
            i = done.nextClearBit(i + 1)
        }
        return found
    }
}

/** The leader's picture of jobs and machines, with what it has on record of them. */
class Fleet(private val mirror: Mirror) {
    val jobs = LinkedHashMap<String, Job>()
    val machines = LinkedHashMap<String, Machine>()
    var types: Map<String, MachineType> = emptyMap()

    fun place(start: Start, machine: Machine, session: Long, need: Resources, inherited: Boolean): Placed {
        val placed = Placed(start, machine, session, need, inherited)
        machine.placed[start] = placed
        jobs[start.task.job]?.placed?.set(start.task.index, placed)
        return placed
    }

    /** Its task is proven to be on the machine no more. */
    fun remove(placed: Placed) {
        val machine = placed.machine
        machine.placed.remove(placed.start)
        val job = jobs[placed.start.task.job]
        if (job?.placed?.get(placed.start.task.index) === placed) job.placed.remove(placed.start.task.index)
        if (machine.placed.isEmpty()) machine.idleSince = TimeSource.Monotonic.markNow()
    }

    fun markDone(job: Job, index: Int) {
        if (job.done.get(index)) return
        job.done.set(index)
        job.doneCount++
        val chunk = index / Keys.CHUNK_TASKS
        mirror.put(Keys.chunk(job.spec.id, chunk), ChunkRecords.encode(job.done, chunk))
    }

    /** The ticket after whose writing the machine's starts are on record. */
    fun save(machine: Machine): Long = mirror.put(Keys.machine(machine.host), machine.record().encode())

    fun display(job: Job) {
        mirror.put(Keys.display(job.spec.id), DisplayRecord(job.doneCount, job.running).encode())
    }

    fun forget(machine: Machine) {
        machine.placed.values.toList().forEach(::remove)
        machines.remove(machine.host)
        mirror.delete(Keys.machine(machine.host))
    }

    fun usage(): Map<String, Resources> {
        val sums = HashMap<String, Resources>()
        for (machine in machines.values) {
            for (p in machine.placed.values) {
                val team = jobs[p.start.task.job]?.spec?.team ?: continue
                sums.merge(team, p.need, Resources::plus)
            }
        }
        return sums
    }
}
