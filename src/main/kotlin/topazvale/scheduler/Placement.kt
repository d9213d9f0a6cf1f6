package topazvale.scheduler

import topazvale.model.JobSpec
import topazvale.model.Rank
import topazvale.model.Resources
import topazvale.model.Start
import kotlin.time.Duration.Companion.seconds

/** Decides which waiting tasks go to which machines that are up: a pure function of the snapshot. */
class Placement(private val order: JobOrder = JobOrder()) {
    /** What to place where, what to stop for it, and what found no room. */
    fun plan(snapshot: Snapshot): PlacementPlan = PlacementRun(snapshot, order).make()
}

/** One plan while it is made: what it gives away is taken from the candidates at once. */
@Suppress("TooManyFunctions") // The steps of one plan, which share its state.
private class PlacementRun(private val snapshot: Snapshot, private val order: JobOrder) {
    private val gpusWanted = snapshot.jobs.any { it.spec.need.gpus > 0.0 }

    /** Always the same machines first: those at the end of the row become empty and go back. */
    private val all = snapshot.machines.filter { it.up }
        .sortedBy { it.type.price(it.market.spot) }
        .map { Candidate(it, gpusWanted) }

    /** Candidates that could hold the smallest of what waits. */
    private val open = ArrayList(all)
    private val withoutGpus = all.filterTo(ArrayList()) { it.machine.type.capacity.gpus == 0.0 }
    private val smallest = snapshot.jobs.map { it.spec.need }.reduceOrNull(::lesser) ?: Resources.NONE
    private val allowance = TeamQuota(snapshot)
    private val failedOnAll = FailedPlacements()
    private val failedWithoutGpus = FailedPlacements()
    private val failedWithReservations = FailedPlacements()
    private val imageWaits = ImageWaits(snapshot)
    private val selection = CandidateSelection(snapshot, imageWaits)
    private val preemption = Preemption()
    private val holds = GangHolds(snapshot)
    private val reservations = snapshot.services.map { CapacityReservation(it, snapshot, all) }

    /** Where tasks of jobs went in this plan whose place binds the rest of them. */
    private val bindingPicks = HashMap<String, ArrayList<Pick>>()
    private val assignments = ArrayList<Assignment>()
    private val unplaced = ArrayList<WaitingJob>()
    private val preempted = ArrayList<Start>()

    /** Jobs that have left machines with GPUs to others, to be tried on all machines once those have been placed. */
    private val second = ArrayList<WaitingJob>()

    /** Makes the plan; called once. */
    fun make(): PlacementPlan {
        reservations.forEach { it.keep() }
        for (job in order.sorted(snapshot)) {
            val allowed = minOf(job.pendingTasks, allowance.tasks(job.spec))
            val wholly = !job.spec.isGang || allowed == job.pendingTasks
            if (allowed > 0 && wholly) tryFirst(job, firstShare(job, allowed))
        }
        val every = ArrayList(all)
        for (job in second) {
            holds.release(job)
            val left = attempt(job, job.pendingTasks, every, failedOnAll)
            if (left > 0) unplaced += rest(job, left)
        }
        return plan()
    }

    private fun plan(): PlacementPlan {
        val changed = all.filter { it.free != it.machine.free }
        return PlacementPlan(
            assignments,
            unplaced,
            preempted,
            changed.associate { it.machine.host to it.free + it.held },
            reservations.flatMap { it.missing(snapshot.now) },
            reservations.flatMapTo(HashSet()) { it.hosts },
        )
    }

    private fun tryFirst(job: WaitingJob, tasks: Int) {
        val usesGpus = job.spec.need.gpus > 0.0
        val yields = gpusWanted && !isStarving(job) && !(usesGpus && isPressing(job))
        val left = when {
            yields && usesGpus -> tasks
            else -> tryOpen(job, tasks, yields)
        }
        // What is bought for later needs counts against the limit as well: it could not be used otherwise.
        allowance.take(job.spec, tasks)
        if (left > 0) (if (yields) second else unplaced) += rest(job, left)
    }

    private fun tryOpen(job: WaitingJob, tasks: Int, yields: Boolean): Int {
        val opened = reservations.filter { if (job.spec.isService) it.serves(job.spec) else waitsTooLong(job) }
        return when {
            opened.isNotEmpty() -> withReservations(job, tasks, if (yields) withoutGpus else all, opened)
            yields -> attempt(job, tasks, withoutGpus, failedWithoutGpus)
            else -> attempt(job, tasks, open, failedOnAll)
        }
    }

    /** What was found full while capacity was reserved need not be so for those to whom it is open. */
    private fun withReservations(
        job: WaitingJob,
        tasks: Int,
        candidates: List<Candidate>,
        opened: List<CapacityReservation>,
    ): Int {
        opened.forEach { it.release() }
        val failed = if (job.spec.isService) FailedPlacements() else failedWithReservations
        val left = attempt(job, tasks, ArrayList(candidates), failed)
        opened.forEach { it.keep() }
        return left
    }

    private fun isStarving(job: WaitingJob) = JobOrder.isStarving(job, snapshot)

    /**
     * Machines with GPUs belong first, whatever its rank, to work that can run nowhere else and has to start now to be
     * in time. Without that urgent work would have them all, as it always comes first.
     */
    private fun isPressing(job: WaitingJob) = JobOrder.mustStartNow(job.deadline, job.estimate, snapshot.now)

    /** Nobody is to wait for long beside capacity that is reserved for what may come. */
    private fun waitsTooLong(job: WaitingJob) = !job.hasStarted && snapshot.now - job.submitted > RESERVATION_PATIENCE

    /** What goes before all others must not take all for itself. */
    private fun firstShare(job: WaitingJob, tasks: Int): Int =
        if (job.spec.isGang || !isStarving(job)) tasks else (tasks + FIRST_SHARE_PART - 1) / FIRST_SHARE_PART

    /**
     * What is left of a job, which may be tried again in this plan: what it has just got binds it as much as what it
     * had before. Without that an array bound to one zone began in two, and a spread one crowded a zone.
     */
    private fun rest(job: WaitingJob, left: Int): WaitingJob {
        val got = bindingPicks.remove(job.spec.id) ?: return job.copy(pendingTasks = left)
        val placedByZone = HashMap(job.placedByZone)
        val placedByHost = HashMap(job.placedByHost)
        for (pick in got) {
            placedByZone.merge(pick.candidate.machine.market.zone, pick.tasks, Int::plus)
            placedByHost.merge(pick.candidate.machine.host, pick.tasks, Int::plus)
        }
        return job.copy(pendingTasks = left, placedByZone = placedByZone, placedByHost = placedByHost)
    }

    /** The number of tasks for which there is no room, nor will be by what is stopped for them. */
    private fun attempt(
        job: WaitingJob,
        tasks: Int,
        candidates: MutableList<Candidate>,
        failed: FailedPlacements,
    ): Int {
        val least = if (job.spec.isGang) tasks else 1
        val bound = job.spec.spread || job.placedByZone.isNotEmpty()
        if (!bound && failed.covers(job.spec, least)) return tasks
        // For urgent jobs something may still be stopped on a full machine; a starving one comes before them.
        if (!isStarving(job) && job.spec.rank < Rank.URGENT) candidates.removeAll(::isFull)
        val left = when {
            job.spec.rank >= Rank.URGENT -> placeUrgent(job, tasks, candidates)
            else -> tasks - assign(job, selection.select(job, tasks, candidates))
        }
        if (left > 0 && !bound && !waitsForImageAlone(job, candidates)) failed.add(job.spec, least)
        if (left > 0 && job.spec.isGang) holds.hold(job, tasks, candidates)
        return left
    }

    private fun isFull(candidate: Candidate) = candidate.starts <= 0 || !smallest.fitsIn(candidate.free)

    /** There is room for the like of it, and only this one waits for its image. */
    private fun waitsForImageAlone(job: WaitingJob, candidates: List<Candidate>) =
        imageWaits.patient(job) && candidates.any { candidate ->
            PlacementRules.allows(job.spec, candidate.machine) &&
                PlacementRules.usableTasks(job.spec, candidate, snapshot.cpusPerGpu) > 0
        }

    private fun assign(job: WaitingJob, picks: List<Pick>): Int {
        val binding = job.spec.oneZone || job.spec.spread || job.spec.isService
        for (pick in picks) {
            pick.candidate.take(job.spec, pick.tasks)
            if (binding) bindingPicks.getOrPut(job.spec.id) { ArrayList() } += pick
            assignments += Assignment(job.spec.id, pick.candidate.machine.host, pick.tasks)
        }
        return picks.sumOf { it.tasks }
    }

    /**
     * A long fetch makes a start late: room is made where the image is at hand before any other room is taken. So it is
     * where the machines are of the right kind: on one with GPUs, work without any keeps several of them idle for as
     * long as it runs.
     */
    private fun placeUrgent(job: WaitingJob, tasks: Int, candidates: List<Candidate>): Int {
        val right = candidates.filter { !PlacementRules.misplaced(job.spec, it) }
        val near = right.filter { it.fetchSeconds(job.spec) <= CandidateSelection.SHORT_FETCH_S }
        val choices = listOf(near, right, candidates).filter { it.isNotEmpty() }.distinctBy { it.size }
        return choices.firstNotNullOfOrNull { placeOrClear(job, tasks, it) } ?: tasks
    }

    /** The number of tasks left without a place; null where nothing could be done among these candidates. */
    private fun placeOrClear(job: WaitingJob, tasks: Int, candidates: List<Candidate>): Int? {
        val picks = selection.select(job, tasks, candidates)
        val left = tasks - assign(job, picks)
        if (left == 0) return 0
        val taken = picks.mapTo(HashSet()) { it.candidate }
        val stopped = preemption.clear(job, left, candidates.filter { it !in taken })
        if (stopped != null) {
            preempted += stopped
            return 0
        }
        return left.takeIf { picks.isNotEmpty() }
    }

    private companion object {
        fun lesser(a: Resources, b: Resources) =
            Resources(minOf(a.cpus, b.cpus), minOf(a.gpus, b.gpus), minOf(a.memoryGb, b.memoryGb))

        /** A job that goes before all others gets this part of its tasks placed first. */
        const val FIRST_SHARE_PART = 4
        val RESERVATION_PATIENCE = 60.seconds
    }
}
