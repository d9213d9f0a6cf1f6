package topazvale.reconcile

import topazvale.model.Clocks
import topazvale.model.JobSpec
import topazvale.model.Market
import topazvale.model.Resources
import topazvale.model.Start
import topazvale.model.TaskState
import topazvale.store.MachineGroupRecord
import topazvale.store.RecordWriter
import topazvale.store.Records
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * A task that is, or may be, on a machine. It counts there until it is proven to be gone.
 *
 * [spec]: its job's description; null where the job is not known.
 */
class PlacedTask(
    val start: Start,
    val machine: ManagedMachine,
    val session: Long,
    val spec: JobSpec?,
    val origin: PlacementOrigin,
) {
    /** What it takes of its machine; of a stray whose job is not known that is not known either. */
    val need: Resources get() = spec?.need ?: Resources.NONE

    /** It is on no record: found on the machine. */
    val isOrphaned: Boolean get() = origin == PlacementOrigin.ORPHANED

    /** This leader has not started it itself. */
    val isInherited: Boolean get() = origin != PlacementOrigin.STARTED

    /** From this write ticket on the start is on record. */
    var ticket = Long.MAX_VALUE

    /** The record that holds it; null for a task that was found on a machine and is on none. */
    var batch: StartBatch? = null

    /** As last reported; null while the machine has not shown it. */
    var state: TaskState? = null
    var runningSince: ComparableTimeMark? = null

    /** The grace with which it is to stop; null while it is wanted. */
    var stopGracePeriod: Duration? = null

    /** A stop has been sent as a direct command; the answers to reports repeat it. */
    var stopSent = false

    /** Its start has been commanded in an answer to a report, or directly. */
    var startSent = false

    /**
     * The report in the answer to which its start was commanded; null once that answer has arrived or never will. The
     * worker has one report in flight, so that its next one settles it; what it says to direct commands does not.
     */
    var startSentInReport: Long? = null

    /** A direct command got no answer: it may still be carried out as long as the session lasts. */
    var inDoubt = false

    /** Whether it occupies its place on the machine: it has its image. */
    val hasImage get() = state != null && state != TaskState.FETCHING

    /** Whether a report under our token that does not list it proves that it is gone. */
    val isExpectedInReports: Boolean
        get() {
            val stopArrived = stopGracePeriod != null && !inDoubt && startSentInReport == null
            return isInherited || state != null || stopArrived
        }

    /** A report with this sequence number has come in: earlier ones have been answered, or never will be. */
    fun acknowledgeResponsesBefore(sequence: Long) {
        val answered = startSentInReport ?: return
        if (answered < sequence) startSentInReport = null
    }

    /**
     * Whether its command may leave: a later leader has to find both the start and its machine on record, as it takes
     * what is on no machine of the records for gone. A stray is on none, and its stop must not wait for that.
     */
    fun mayBeSent(records: RecordWriter): Boolean =
        isOrphaned || (records.isDurable(ticket) && records.isDurable(machine.group.ticket))

    override fun toString() = "$start on ${machine.host}"
}

/** How a placement came to be known. */
enum class PlacementOrigin {
    /** This leader starts it. */
    STARTED,

    /** A former leader started it, by its record. */
    RECORDED,

    /** It was found on its machine, and is on no record. */
    ORPHANED,
}

/**
 * A machine as this leader knows it. [rentedInThisTerm]: the cloud gave it to this very leader, so that no report of
 * its worker can be older than this term.
 */
class ManagedMachine(
    val host: String,
    val market: Market,
    val rentedAt: Instant,
    val group: MachineGroup,
    val rentedInThisTerm: Boolean,
    private val clocks: Clocks,
) {
    var endpoint = ""
    var session = 0L
    var sequence = -1L

    /** Until when its worker may run its tasks. */
    val lease = WorkerLease(clocks)

    /** When the last report that was answered came in; null before the first message to this leader. */
    var lastAnsweredReportAt: ComparableTimeMark? = null

    /** When any report of it came in, also one that was not answered and so renewed no lease. */
    var lastReportAt: ComparableTimeMark? = null

    /** Since when this leader knows of it. */
    val knownSince: ComparableTimeMark = clocks.mark()

    /** The highest token its worker is known to have seen. */
    val token: Long get() = lease.token
    val responseDelivery = ResponseDelivery(clocks)

    /** When the cloud takes a spot machine back; null without a notice. */
    var noticeEndsAt: ComparableTimeMark? = null
    var idleSince: ComparableTimeMark = clocks.mark()

    /** When the cloud's list last held it. */
    var listedAt: ComparableTimeMark? = null
    var failed = false

    /** On its way back to the cloud: nothing starts here any more. */
    var returning = false

    /** Starts in a row that failed here and speak against the machine. */
    var consecutiveFailures = 0
    val placements = LinkedHashMap<Start, PlacedTask>()
    val images = LinkedHashSet<String>()

    /** Images on their way, with their gigabytes: they share the machine's rate. */
    val fetchingImages = HashMap<String, Double>()

    /** Whether something is on it of which nobody knows what it takes. */
    val hasUnknownUsage: Boolean get() = unknown > 0
    private var unknown = 0

    /** What the placed tasks take. */
    var used = Resources.NONE
        private set

    /** Exited starts of this session that must stay in the worker's memory, as their command may come once more. */
    val retainedStarts = HashSet<Start>()

    init {
        group.machines[host] = this
    }

    /** The cache keeps the most recently used images, and so do we. True where the image was not held before. */
    fun recordImageUse(image: String): Boolean {
        val known = images.remove(image)
        images += image
        if (images.size > IMAGES_KEPT) images.remove(images.first())
        return !known
    }

    /** The task counts here from now on. */
    fun add(task: PlacedTask) {
        placements[task.start] = task
        used += task.need
        if (task.spec == null) unknown++
    }

    /** The task is gone. */
    fun remove(task: PlacedTask) {
        if (placements.remove(task.start) == null) return
        if (task.spec == null) unknown--
        // Sums of decimals drift: an empty machine is empty.
        used = if (placements.isEmpty()) Resources.NONE else used - task.need
        if (placements.isEmpty()) idleSince = clocks.mark()
    }

    private companion object {
        const val IMAGES_KEPT = 24
    }
}

/** Machines rented together, which are one record. */
class MachineGroup(val key: String, private val market: Market, private val rentedAt: Instant) {
    val machines = LinkedHashMap<String, ManagedMachine>()

    /** From this ticket on the machines are on record. */
    var ticket = 0L

    /** As many of the images, the last used ones, as the value limit leaves space for. */
    fun record(valueBytes: Int): Map<String, Any?> {
        val space = (valueBytes - HEAD_BYTES) / machines.size - HOST_BYTES
        return MachineGroupRecord(market, rentedAt, machines.mapValues { (_, m) -> newest(m, space) }).encode()
    }

    private fun newest(machine: ManagedMachine, space: Int): List<String> {
        var left = space
        return machine.images.reversed().takeWhile { image ->
            left -= Records.size(image) + 1
            left >= 0
        }.reversed()
    }

    companion object {
        private const val HEAD_BYTES = 512
        private const val HOST_BYTES = 32

        fun maxMachines(valueBytes: Int) = ((valueBytes - HEAD_BYTES) / HOST_BYTES).coerceAtLeast(1)
    }
}
