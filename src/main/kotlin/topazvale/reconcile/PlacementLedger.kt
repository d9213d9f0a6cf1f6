package topazvale.reconcile

import topazvale.model.JobSpec
import topazvale.model.Resources

/**
 * All placements that count: every start that is, or may be, on a machine. Machine room, teams' usage, zones, what may
 * start and whether a job may end are all derived from it.
 *
 * A task mostly has one placement. It has more where a stray, a start that is on no record, is found beside it; the
 * task is free to start only when none is left.
 */
class PlacementLedger {
    private val jobs = HashMap<String, JobPlacements>()

    /** The placements of a job's tasks, whether or not anything else is known of the job. */
    fun of(job: String): JobPlacements = jobs.getOrPut(job, ::JobPlacements)

    /** The placement counts from now on, on its machine and for its task. */
    fun add(placed: PlacedTask) {
        val task = placed.start.task
        val placements = of(task.job)
        val others = placements.of(task.index)
        // What the leader itself starts must be nowhere else; a stray is found where it is.
        if (!placed.isOrphaned && others.isNotEmpty()) {
            Invariants.reportViolation("second_placement", "${placed.start} on ${placed.machine.host} beside $others")
        }
        placements.add(placed)
        placed.machine.add(placed)
        ClusterMetrics.placementAdded(others.size + 1)
    }

    /** The placement counts no more. */
    fun remove(placed: PlacedTask) {
        placed.machine.remove(placed)
        val placements = jobs[placed.start.task.job] ?: return
        placements.remove(placed)
    }

    /** The job is over; what is still found of it counts until it is gone. */
    fun removeIfEmpty(job: String) {
        if (jobs[job]?.isEmpty() == true) jobs.remove(job)
    }

    /** What the placements take, by team; [spec] knows the jobs that are not over. */
    fun usage(spec: (String) -> JobSpec?): Map<String, Resources> {
        val sums = HashMap<String, Resources>()
        for ((job, placements) in jobs) {
            // Of a job that is over, by what was known as its placements were found.
            val known = spec(job) ?: placements.all.firstNotNullOfOrNull { it.spec }
            if (known == null || placements.isEmpty()) continue
            sums.merge(known.team, known.need * placements.size, Resources::plus)
        }
        return sums
    }

    /** Whether [usage] holds all placements: of those of a job that nobody knows the team is not known either. */
    fun isUsageComplete(spec: (String) -> JobSpec?): Boolean =
        jobs.all { (job, placements) -> spec(job) != null || placements.all.all { it.spec != null } }

    /** The sums by job and by machine have to be the same. */
    fun check(machines: Collection<ManagedMachine>) {
        val byJob = jobs.values.sumOf { it.size }
        val byMachine = machines.sumOf { it.placements.size }
        if (byJob != byMachine) {
            Invariants.reportViolation("ledger_sums", "$byJob placements by job, $byMachine by machine")
        }
    }
}

/** The placements of one job's tasks. */
class JobPlacements {
    /** Of each task the placement that was added first of those that are left. */
    private val first = LinkedHashMap<Int, PlacedTask>()

    /** What tasks have beside it; mostly nothing. */
    private val further = LinkedHashMap<Int, List<PlacedTask>>()

    /** The tasks that have a placement. */
    val tasks: Set<Int> get() = first.keys

    /** All placements. */
    val all: Collection<PlacedTask>
        get() = if (further.isEmpty()) first.values else first.values + further.values.flatten()

    /** How many placements there are. */
    val size: Int get() = first.size + further.values.sumOf { it.size }

    /** Whether nothing of the job is, or may be, on any machine. */
    fun isEmpty(): Boolean = first.isEmpty()

    /** Whether something is. */
    fun isNotEmpty(): Boolean = first.isNotEmpty()

    /** Whether the task has a placement. */
    operator fun contains(index: Int): Boolean = index in first

    /** All placements of the task. */
    fun of(index: Int): List<PlacedTask> = listOfNotNull(first[index]) + further[index].orEmpty()

    internal fun add(placed: PlacedTask) {
        val index = placed.start.task.index
        if (first.putIfAbsent(index, placed) != null) further.merge(index, listOf(placed)) { old, new -> old + new }
    }

    internal fun remove(placed: PlacedTask) {
        val index = placed.start.task.index
        val left = of(index) - placed
        first.remove(index)
        further.remove(index)
        left.forEach(::add)
    }
}
