package topazvale.reconcile

import topazvale.model.Clocks
import topazvale.model.JobSpec
import topazvale.model.Market
import topazvale.model.Order
import topazvale.model.Resources
import topazvale.model.Start
import topazvale.model.TaskState
import topazvale.store.MachineGroupRecord
import topazvale.store.RecordWriter
import topazvale.store.Records
import kotlin.time.ComparableTimeMark
import kotlin.time.Instant

/**
 * A task that is, or may be, on a machine. It occupies its resources there until it is confirmed absent.
 *
 * [spec] is the description of its job; null if the job is unknown.
 */
class PlacedTask(
    val start: Start,
    val machine: ManagedMachine,
    val session: Long,
    val spec: JobSpec?,
    val origin: PlacementOrigin,
) {
    /** The resources that it occupies; none for an orphaned task of an unknown job, whose needs are unknown too. */
    val need: Resources get() = spec?.need ?: Resources.NONE

    /** Whether it was found on the machine without a start record. */
    val isOrphaned: Boolean get() = origin == PlacementOrigin.ORPHANED

    /** Whether the placement was recorded or reported, rather than created by a start of this leader. */
    val isInherited: Boolean get() = origin != PlacementOrigin.STARTED

    /** The start record is durable once this write ticket is. */
    var ticket = Long.MAX_VALUE

    /** The record that holds the start; null for an orphaned task, which has none. */
    var batch: StartBatch? = null

    /** The state last reported; null until a report lists the task. */
    var state: TaskState? = null
    var runningSince: ComparableTimeMark? = null

    /** The stop that the task is to get, which may change until it has exited; null while it should run. */
    var stopRequest: StopRequest? = null

    /** The stop in the last direct command that held one; responses to reports repeat the stop anyway. */
    var directlySentStop: StopRequest? = null

    /** The stop order that the worker should get now; null if the task should run, or may finish saving. */
    val stopOrder: Order.Stop?
        get() {
            val request = stopRequest ?: return null
            val maySave = state == TaskState.SAVING && !request.reason.endsSaving
            return if (maySave) null else Order.Stop(start, request.gracePeriod)
        }

    /** Whether the start order was sent, in a response to a report or as a direct command. */
    var startSent = false

    /**
     * The sequence number of the report whose response held the start order; null once that response has arrived or
     * can no longer arrive. A worker has one report in flight, so its next report tells that; its response to a direct
     * command does not.
     */
    var startSentInReport: Long? = null

    /** Whether a direct command with the start is unresolved: it may still be carried out while the session lasts. */
    var inDoubt = false

    /** Whether the worker may have received the start, or may still receive it. */
    val mayHaveBeenSent get() = isInherited || startSent || inDoubt || state != null

    /** Whether the machine has the image of the task, so that the task is past its fetch. */
    val hasImage get() = state != null && state != TaskState.FETCHING

    /** Whether a report under this leader's token that does not list the task confirms it absent. */
    val isExpectedInReports: Boolean
        get() {
            val stopReceived = stopRequest != null && !inDoubt && startSentInReport == null
            return isInherited || state != null || stopReceived
        }

    /** Notes the arrival of a report: the responses to earlier ones have arrived or never will. */
    fun acknowledgeResponsesBefore(sequence: Long) {
        val sentIn = startSentInReport ?: return
        if (sentIn < sequence) startSentInReport = null
    }

    /**
     * Whether orders for the task may be sent. The records of its start and its machine must be durable first, because
     * a later leader treats a start as absent unless it finds both. An orphaned task has no record, and its stop must
     * not wait for one.
     */
    fun mayBeSent(records: RecordWriter): Boolean =
        isOrphaned || (records.isDurable(ticket) && records.isDurable(machine.group.ticket))

    override fun toString() = "$start on ${machine.host}"
}

/** How the leader learned of a placement. */
enum class PlacementOrigin {
    /** This leader started the task. */
    STARTED,

    /** A former leader recorded the start. */
    RECORDED,

    /** The task was found on the machine and has no start record. */
    ORPHANED,
}

/**
 * A rented machine and what the leader knows of its worker. With [rentedInThisTerm] this leader rented the machine, so
 * no report of its worker is older than the term.
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

    /** The lease under which the worker may run its tasks. */
    val lease = WorkerLease(clocks)

    /**
     * When the last answered report, or the first message of a session, arrived; null until the first message to this
     * leader.
     */
    var lastAnsweredReportAt: ComparableTimeMark? = null

    /** When the last report of any kind arrived, including those that were not answered and renewed no lease. */
    var lastReportAt: ComparableTimeMark? = null

    /** When this leader learned of the machine. */
    val knownSince: ComparableTimeMark = clocks.mark()

    /** The highest token that the worker has reported. */
    val token: Long get() = lease.token
    val responseDelivery = ResponseDelivery(clocks)

    /** When the cloud reclaims the spot machine; null without an interruption notice. */
    var noticeEndsAt: ComparableTimeMark? = null
    var idleSince: ComparableTimeMark = clocks.mark()

    /** When the cloud's machine list last contained it. */
    var listedAt: ComparableTimeMark? = null

    /** Whether the cloud listed it as failed. */
    var failed = false

    /** Whether it is being returned to the cloud; nothing more is started on it. */
    var returning = false

    /** The market that the latest report or machine list gave instead of [market]; null if they agree. */
    private var otherMarket: Market? = null

    /** Whether the machine's type, zone or kind is in doubt; nothing more is started on it meanwhile. */
    val isMarketDisputed: Boolean get() = otherMarket != null

    /** Records the machine's market as given by a report or the machine list. Returns whether a dispute begins. */
    fun recordMarket(given: Market): Boolean {
        val wasDisputed = isMarketDisputed
        otherMarket = given.takeIf { it != market }
        return isMarketDisputed && !wasDisputed
    }

    /** Consecutive task failures that are attributed to the machine rather than to the job. */
    var consecutiveFailures = 0
    val placements = LinkedHashMap<Start, PlacedTask>()
    val images = LinkedHashSet<String>()

    /** Images being fetched, with their sizes in gigabytes; concurrent fetches share the machine's bandwidth. */
    val fetchingImages = HashMap<String, Double>()

    /** Whether tasks of unknown jobs, and so of unknown resource needs, are on the machine. */
    val hasUnknownUsage: Boolean get() = tasksOfUnknownJobs > 0
    private var tasksOfUnknownJobs = 0

    /** The resources that the placed tasks occupy. */
    var used = Resources.NONE
        private set

    /**
     * Exited starts of this session that the worker must not be told to forget: a delayed command may still arrive, and
     * a worker that forgot the start would run it again.
     */
    val retainedStarts = HashSet<Start>()

    init {
        group.machines[host] = this
    }

    /** Mirrors the worker's cache, which keeps the most recently used images. True if the image was not cached. */
    fun recordImageUse(image: String): Boolean {
        val wasCached = images.remove(image)
        images += image
        if (images.size > MAX_CACHED_IMAGES) images.remove(images.first())
        return !wasCached
    }

    /** Adds a placement and its resource usage. */
    fun add(task: PlacedTask) {
        placements[task.start] = task
        used += task.need
        if (task.spec == null) tasksOfUnknownJobs++
    }

    /** Removes a placement and its resource usage. */
    fun remove(task: PlacedTask) {
        if (placements.remove(task.start) == null) return
        if (task.spec == null) tasksOfUnknownJobs--
        // Rounding errors add up in the sum, so an empty machine is reset to exactly none.
        used = if (placements.isEmpty()) Resources.NONE else used - task.need
        if (placements.isEmpty()) idleSince = clocks.mark()
    }

    private companion object {
        const val MAX_CACHED_IMAGES = 24
    }
}

/** Machines rented together, which share one record. */
class MachineGroup(val key: String, private val market: Market, private val rentedAt: Instant) {
    val machines = LinkedHashMap<String, ManagedMachine>()

    /** The record of the machines is durable once this write ticket is. */
    var ticket = 0L

    /** The record, with as many of the most recently used images as fit into a value of [valueBytes]. */
    fun record(valueBytes: Int): Map<String, Any?> {
        val imageBytes = (valueBytes - HEADER_BYTES) / machines.size - MACHINE_BYTES
        return MachineGroupRecord(
            market,
            rentedAt,
            machines.mapValues { (_, machine) -> latestImages(machine, imageBytes) },
        ).encode()
    }

    private fun latestImages(machine: ManagedMachine, imageBytes: Int): List<String> {
        var remaining = imageBytes
        return machine.images.reversed().takeWhile { image ->
            remaining -= Records.size(image) + 1
            remaining >= 0
        }.reversed()
    }

    companion object {
        private const val HEADER_BYTES = 512
        private const val MACHINE_BYTES = 32

        /** How many machines fit into one record, without images. */
        fun maxMachines(valueBytes: Int) = ((valueBytes - HEADER_BYTES) / MACHINE_BYTES).coerceAtLeast(1)
    }
}
