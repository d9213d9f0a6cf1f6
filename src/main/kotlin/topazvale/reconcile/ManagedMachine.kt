package topazvale.reconcile

import topazvale.model.Clocks
import topazvale.model.Market
import topazvale.model.Resources
import topazvale.model.Start
import topazvale.store.Records
import kotlin.time.ComparableTimeMark
import kotlin.time.Instant

/**
 * A rented machine and what the leader knows of its worker. With [rentedInThisTerm] this leader rented the machine, so
 * no report of its worker is older than the term.
 * Its worker is commanded under [commandToken].
 */
class ManagedMachine(
    val host: String,
    val group: MachineGroup,
    val rentedInThisTerm: Boolean,
    val commandToken: CommandToken,
    private val clocks: Clocks,
) {
    val market: Market get() = group.market
    val rentedAt: Instant get() = group.rentedAt
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

    /** Whether a direct command to the worker is awaiting its response. */
    var hasCommandInFlight = false

    /** The exited tasks of the latest answered report that the worker was not told to forget. */
    var retainedExits = 0

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
