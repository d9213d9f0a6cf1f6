package topazvale.reconcile

import topazvale.model.Clocks
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

/** A start that is, or may be, on a machine. */
class PlacedTask(val start: Start, val machine: ManagedMachine, val session: Long, val need: Resources, val inherited: Boolean) {
    /** From this ticket on the start is on record and its command may leave. */
    var ticket = Long.MAX_VALUE

    /** The record that holds it; null for a task that was found on a machine and is on none. */
    var batch: StartBatch? = null

    /** As last reported; null while the machine has not shown it. */
    var state: TaskState? = null
    var runningSince: ComparableTimeMark? = null

    /** The grace with which it is to stop; null while it is wanted. */
    var stop: Duration? = null

    /** A stop has been sent straight; the answers to reports repeat it. */
    var stopSent = false

    /** Its command was given in an answer to a report, or straight. */
    var sent = false

    /**
     * The report in the answer to which its command was given; null once that answer has arrived or never will. The
     * worker has one report in flight, so that its next one settles it; what it says to straight orders does not.
     */
    var answered: Long? = null

    /** A straight command got no answer: it may still arrive as long as the session lasts. */
    var loose = false
    val onMachine get() = state != null && state != TaskState.FETCHING

    /**
     * Whether its command may leave: a later leader has to find both the start and its machine on record, as it takes
     * what is on no machine of the records for gone.
     */
    fun isRecorded(records: RecordWriter): Boolean = records.isDurable(ticket) && records.isDurable(machine.group.ticket)
}

/** [ours]: the cloud gave it to this very leader, so that no word of its worker can be older than this term. */
class ManagedMachine(
    val host: String,
    val market: Market,
    val rented: Instant,
    val group: MachineGroup,
    val ours: Boolean,
    private val clocks: Clocks,
) {
    var endpoint = ""
    var session = 0L
    var sequence = -1L

    /** When the last report came in; null before the first to this leader. */
    var heard: ComparableTimeMark? = null

    /** When any word of it came in, also one that was not answered and so renewed no lease. */
    var noticed: ComparableTimeMark? = null

    /** Since when this leader knows of it. */
    val met: ComparableTimeMark = clocks.mark()

    /** The highest token its worker is known to have seen. */
    var token = 0L
    val responses = ResponseDelivery(clocks)
    var notice: ComparableTimeMark? = null
    var idleSince: ComparableTimeMark = clocks.mark()
    var listed: ComparableTimeMark? = null
    var failed = false

    /** On its way back to the cloud: nothing starts here any more. */
    var returning = false
    var faults = 0
    val placed = LinkedHashMap<Start, PlacedTask>()
    val images = LinkedHashSet<String>()

    /** Images on their way, with their gigabytes: they share the machine's rate. */
    val arriving = HashMap<String, Double>()

    /** What the placed starts take. */
    var used = Resources.NONE
        private set

    /** Starts of this session that must stay in the worker's memory, as their command may come once more. */
    val keep = HashSet<Start>()

    init {
        group.machines[host] = this
    }

    /** The cache keeps the most recently used images, and so do we. True where the image was not held before. */
    fun holds(image: String): Boolean {
        val known = images.remove(image)
        images += image
        if (images.size > IMAGES_KEPT) images.remove(images.first())
        return !known
    }

    fun add(p: PlacedTask) {
        placed[p.start] = p
        used += p.need
    }

    fun remove(p: PlacedTask) {
        if (placed.remove(p.start) == null) return
        // Sums of decimals drift: an empty machine is empty.
        used = if (placed.isEmpty()) Resources.NONE else used - p.need
        if (placed.isEmpty()) idleSince = clocks.mark()
    }

    private companion object {
        const val IMAGES_KEPT = 24
    }
}

/** Machines rented together, which are one record. */
class MachineGroup(val key: String, private val market: Market, private val rented: Instant) {
    val machines = LinkedHashMap<String, ManagedMachine>()

    /** From this ticket on the machines are on record. */
    var ticket = 0L

    /** As many of the images, the last used ones, as the value limit leaves space for. */
    fun record(valueBytes: Int): Map<String, Any?> {
        val space = (valueBytes - HEAD_BYTES) / machines.size - HOST_BYTES
        return MachineGroupRecord(market, rented, machines.mapValues { (_, m) -> newest(m, space) }).encode()
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

        fun mostMachines(valueBytes: Int) = ((valueBytes - HEAD_BYTES) / HOST_BYTES).coerceAtLeast(1)
    }
}
