package topazvale.reconcile

import topazvale.model.JobSpec
import topazvale.model.Resources

/**
 * All tracked placements: every start that is, or may be, on a machine. The free capacity of machines, the usage of
 * teams, the zones of jobs, and whether a task may start or a job may finish are all derived from it.
 *
 * A task usually has one placement. It has more if an orphaned task, a start without a record, is found as well; it may
 * start again only when none is left.
 */
class PlacementLedger {
    private val jobs = HashMap<String, JobPlacements>()

    /** The placements of a job's tasks; the job itself may be unknown. */
    fun of(job: String): JobPlacements = jobs.getOrPut(job, ::JobPlacements)

    /** Tracks a placement, for its machine and for its task. */
    fun add(placed: PlacedTask) {
        val task = placed.start.task
        val placements = of(task.job)
        val others = placements.of(task.index)
        // A start of the leader must be the only placement of its task; an orphaned task may be found beside others.
        if (!placed.isOrphaned && others.isNotEmpty()) {
            Invariants.reportViolation("second_placement", "${placed.start} on ${placed.machine.host} beside $others")
        }
        placements.add(placed)
        placed.machine.add(placed)
        ClusterMetrics.placementAdded(others.size + 1)
    }

    /** Stops tracking a placement. */
    fun remove(placed: PlacedTask) {
        placed.machine.remove(placed)
        val placements = jobs[placed.start.task.job] ?: return
        placements.remove(placed)
    }

    /** Drops the entry of a finished job unless some of its placements are still tracked. */
    fun removeIfEmpty(job: String) {
        if (jobs[job]?.isEmpty() == true) jobs.remove(job)
    }

    /** The resources that placements occupy, by team; [spec] returns the description of an unfinished job. */
    fun usage(spec: (String) -> JobSpec?): Map<String, Resources> {
        val sums = HashMap<String, Resources>()
        for ((job, placements) in jobs) {
            // A finished job is described by its placements, as far as it was known when they were added.
            val known = spec(job) ?: placements.all.firstNotNullOfOrNull { it.spec }
            if (known == null || placements.isEmpty()) continue
            sums.merge(known.team, known.need * placements.size, Resources::plus)
        }
        return sums
    }

    /** Whether [usage] covers all placements; it leaves out those of unknown jobs, whose team is unknown too. */
    fun isUsageComplete(spec: (String) -> JobSpec?): Boolean =
        jobs.all { (job, placements) -> spec(job) != null || placements.all.all { it.spec != null } }

    /** Checks the invariant that jobs and machines have the same number of placements in total. */
    fun checkTotals(machines: Collection<ManagedMachine>) {
        val byJob = jobs.values.sumOf { it.size }
        val byMachine = machines.sumOf { it.placements.size }
        if (byJob != byMachine) {
            Invariants.reportViolation("ledger_sums", "$byJob placements by job, $byMachine by machine")
        }
    }
}

/** The placements of one job's tasks. */
class JobPlacements {
    /** The earliest added of the remaining placements of each task. */
    private val primary = LinkedHashMap<Int, PlacedTask>()

    /** The other placements of each task, of which there are usually none. */
    private val extra = LinkedHashMap<Int, List<PlacedTask>>()

    private val countByZone = LinkedHashMap<String, Int>()

    /** The number of placements in each zone that has any. */
    val byZone: Map<String, Int> get() = countByZone

    /** The tasks that have a placement. */
    val tasks: Set<Int> get() = primary.keys

    /** All placements of the job. */
    val all: Collection<PlacedTask>
        get() = if (extra.isEmpty()) primary.values else primary.values + extra.values.flatten()

    /** How many placements there are. */
    val size: Int get() = primary.size + extra.values.sumOf { it.size }

    /** Whether no task of the job is, or may be, on any machine. */
    fun isEmpty(): Boolean = primary.isEmpty()

    /** Whether a task of the job is, or may be, on a machine. */
    fun isNotEmpty(): Boolean = primary.isNotEmpty()

    /** Whether the task has a placement. */
    operator fun contains(index: Int): Boolean = index in primary

    /** All placements of the task. */
    fun of(index: Int): List<PlacedTask> = listOfNotNull(primary[index]) + extra[index].orEmpty()

    internal fun add(placed: PlacedTask) {
        insert(placed)
        countByZone.merge(placed.machine.market.zone, 1, Int::plus)
    }

    private fun insert(placed: PlacedTask) {
        val index = placed.start.task.index
        if (primary.putIfAbsent(index, placed) != null) extra.merge(index, listOf(placed)) { old, new -> old + new }
    }

    internal fun remove(placed: PlacedTask) {
        val index = placed.start.task.index
        val current = of(index)
        if (placed !in current) return
        primary.remove(index)
        extra.remove(index)
        (current - placed).forEach(::insert)
        countByZone.computeIfPresent(placed.machine.market.zone) { _, count -> (count - 1).takeIf { it > 0 } }
    }
}
