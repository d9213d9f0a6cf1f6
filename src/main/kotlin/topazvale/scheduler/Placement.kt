package topazvale.scheduler

import topazvale.model.JobSpec
import topazvale.model.Rank
import topazvale.model.Resources
import topazvale.model.Start

/** Assigns waiting tasks to machines that are up: a pure function of the snapshot. */
class Placement(private val order: JobOrder = JobOrder()) {
    /** Plans which tasks to place where and which to preempt for them; the plan also lists what found no capacity. */
    fun plan(snapshot: Snapshot): PlacementPlan = PlanningPass(snapshot, order).buildPlan()
}

/** The state of one planning pass. Capacity that it assigns is taken from the candidates at once. */
@Suppress("TooManyFunctions") // The steps of one planning pass, which share its state.
private class PlanningPass(private val snapshot: Snapshot, private val order: JobOrder) {
    private val gpuWorkWaiting = snapshot.jobs.any { it.spec.need.gpus > 0.0 }

    /** In a fixed order, so that the machines at the end become idle and are returned. */
    private val allCandidates = snapshot.machines.filter { it.up }
        .sortedBy { it.type.price(it.market.spot) }
        .map { Candidate(it, gpuWorkWaiting) }

    /** Candidates that may have capacity for the smallest waiting task; full ones are removed during the pass. */
    private val openCandidates = ArrayList(allCandidates)
    private val candidatesWithoutGpus =
        allCandidates.filterTo(ArrayList()) { it.machine.type.capacity.gpus == 0.0 }
    private val smallestNeed = snapshot.jobs.map { it.spec.need }.reduceOrNull(::minOfEach) ?: Resources.NONE
    private val teamQuota = TeamQuota(snapshot)
    private val failedOnAll = FailedPlacements()
    private val failedWithoutGpus = FailedPlacements()

    /** The candidates for jobs that may use all reservations, and what failed on them while those were released. */
    private val unreserved = ArrayList(allCandidates)
    private val unreservedWithoutGpus = ArrayList(candidatesWithoutGpus)
    private val failedUnreserved = FailedPlacements()
    private val failedUnreservedWithoutGpus = FailedPlacements()
    private val imageLocality = ImageLocality(snapshot)
    private val selection = CandidateSelection(snapshot, imageLocality)
    private val preemption = Preemption()
    private val gangHolds = GangHolds(snapshot)
    private val reservations = snapshot.services.map { CapacityReservation(it, snapshot, allCandidates) }

    /** By job, the allocations of this plan that restrict where the job's remaining tasks may be placed. */
    private val bindingAllocations = HashMap<String, ArrayList<TaskAllocation>>()
    private val assignments = ArrayList<Assignment>()
    private val unplaced = ArrayList<WaitingJob>()
    private val preempted = ArrayList<Start>()

    /** Jobs that have left machines with GPUs to GPU work; tried on all machines once that work has been placed. */
    private val deferred = ArrayList<WaitingJob>()

    /** Makes the plan; called once. */
    fun buildPlan(): PlacementPlan {
        reservations.forEach { it.reserve() }
        for (job in order.sorted(snapshot)) {
            val allowed = minOf(job.pendingTasks, teamQuota.allowedTasks(job.spec))
            val mayStart = !job.spec.isGang || allowed == job.pendingTasks
            if (allowed > 0 && mayStart) placeFirst(job, initialTasks(job, allowed))
        }
        val deferredCandidates = ArrayList(allCandidates)
        for (job in deferred) {
            gangHolds.release(job)
            val remaining = attempt(job, job.pendingTasks, deferredCandidates, failedOnAll)
            if (remaining > 0) unplaced += remainder(job, remaining)
        }
        return result()
    }

    private fun result(): PlacementPlan {
        val changed = allCandidates.filter { it.free != it.machine.free }
        return PlacementPlan(
            assignments,
            unplaced,
            preempted,
            changed.associate { it.machine.host to it.free + it.held },
            reservations.flatMap { it.missingReplicas(snapshot.now) },
            reservations.flatMapTo(HashSet()) { it.hosts },
        )
    }

    private fun placeFirst(job: WaitingJob, tasks: Int) {
        val usesGpus = job.spec.need.gpus > 0.0
        val yieldsGpus = gpuWorkWaiting && !isStarving(job) && !(usesGpus && mustStartNow(job))
        val remaining = when {
            yieldsGpus && usesGpus -> tasks
            else -> attemptFirst(job, tasks, yieldsGpus)
        }
        // Tasks without a place count against the quota too: machines rented for them could not be used otherwise.
        teamQuota.charge(job.spec, tasks)
        if (remaining > 0) (if (yieldsGpus) deferred else unplaced) += remainder(job, remaining)
    }

    /** Attempts the job on the candidates that it does not leave to GPU work, with the reservations it may use. */
    private fun attemptFirst(job: WaitingJob, tasks: Int, yieldsGpus: Boolean): Int {
        val mayUseAll = PlacementRules.mayUseReservations(job, snapshot)
        val usable = reservations.filter { mayUseAll || (job.spec.isService && it.serves(job.spec)) }
        usable.forEach { it.release() }
        val remaining = when {
            mayUseAll && yieldsGpus -> attempt(job, tasks, unreservedWithoutGpus, failedUnreservedWithoutGpus)
            mayUseAll -> attempt(job, tasks, unreserved, failedUnreserved)
            usable.isNotEmpty() -> attemptReplicas(job, tasks, if (yieldsGpus) candidatesWithoutGpus else allCandidates)
            yieldsGpus -> attempt(job, tasks, candidatesWithoutGpus, failedWithoutGpus)
            else -> attempt(job, tasks, openCandidates, failedOnAll)
        }
        usable.forEach { it.reserve() }
        return remaining
    }

    /** What failed on full candidates does not apply to replicas for which capacity is reserved there. */
    private fun attemptReplicas(job: WaitingJob, tasks: Int, candidates: List<Candidate>) =
        attempt(job, tasks, ArrayList(candidates), FailedPlacements())

    private fun isStarving(job: WaitingJob) = JobOrder.isStarving(job, snapshot)

    /**
     * GPU work that must start now to meet its deadline gets machines with GPUs first, whatever its rank, as it can run
     * nowhere else. Otherwise urgent work, which is always placed first, would occupy all of them.
     */
    private fun mustStartNow(job: WaitingJob) = JobOrder.mustStartNow(job.deadline, job.estimate, snapshot.now)

    /** How many tasks to try first: a starving job goes before all others, so it must not take all the capacity. */
    private fun initialTasks(job: WaitingJob, tasks: Int): Int =
        if (job.spec.isGang || !isStarving(job)) tasks else (tasks + INITIAL_SHARE_DIVISOR - 1) / INITIAL_SHARE_DIVISOR

    /**
     * The remaining tasks of a job, which may be tried again in this plan. The tasks just placed restrict them as much
     * as those placed earlier: without that, an array bound to one zone started in two, and a spread job exceeded its
     * share of a zone.
     */
    private fun remainder(job: WaitingJob, remaining: Int): WaitingJob {
        val allocations = bindingAllocations.remove(job.spec.id) ?: return job.copy(pendingTasks = remaining)
        return job.with(allocations).copy(pendingTasks = remaining)
    }

    /** The job with the placements that this plan has just given it. */
    private fun WaitingJob.with(allocations: List<TaskAllocation>): WaitingJob {
        val byZone = HashMap(placedByZone)
        val byHost = HashMap(placedByHost)
        for (allocation in allocations) {
            byZone.merge(allocation.candidate.machine.market.zone, allocation.tasks, Int::plus)
            byHost.merge(allocation.candidate.machine.host, allocation.tasks, Int::plus)
        }
        return copy(placedByZone = byZone, placedByHost = byHost)
    }

    /** Returns the number of tasks for which there is no capacity, not even after the planned preemptions. */
    private fun attempt(
        job: WaitingJob,
        tasks: Int,
        candidates: MutableList<Candidate>,
        failed: FailedPlacements,
    ): Int {
        val minTasks = if (job.spec.isGang) tasks else 1
        val isZoneBound = job.spec.spread || job.placedByZone.isNotEmpty()
        if (!isZoneBound && failed.covers(job.spec, minTasks)) return tasks
        // Urgent jobs may still preempt tasks on a full machine. Starving jobs are tried before urgent ones, so they do
        // not remove full machines either.
        if (!isStarving(job) && job.spec.rank < Rank.URGENT) candidates.removeAll(::isFull)
        val remaining = when {
            job.spec.rank >= Rank.URGENT -> placeUrgent(job, tasks, candidates)
            else -> tasks - assign(job, selection.select(job, tasks, candidates))
        }
        if (remaining > 0 && !isZoneBound && !waitsOnlyForImage(job, candidates)) failed.add(job.spec, minTasks)
        if (remaining > 0 && job.spec.isGang) gangHolds.hold(job, tasks, candidates)
        return remaining
    }

    private fun isFull(candidate: Candidate) = candidate.startSlots <= 0 || !smallestNeed.fitsIn(candidate.free)

    /** Whether there is capacity for similar jobs, and only this job waits for machines that cache its image. */
    private fun waitsOnlyForImage(job: WaitingJob, candidates: List<Candidate>) =
        imageLocality.mayWait(job) && candidates.any { candidate ->
            PlacementRules.allows(job.spec, candidate.machine) &&
                PlacementRules.usableTasks(job, candidate, snapshot) > 0
        }

    private fun assign(job: WaitingJob, allocations: List<TaskAllocation>): Int {
        val isBinding = job.spec.oneZone || job.spec.spread || job.spec.isService
        for (allocation in allocations) {
            allocation.candidate.place(job.spec, allocation.tasks)
            if (isBinding) bindingAllocations.getOrPut(job.spec.id) { ArrayList() } += allocation
            assignments += Assignment(job.spec.id, allocation.candidate.machine.host, allocation.tasks)
        }
        return allocations.sumOf { it.tasks }
    }

    /**
     * A long image fetch delays a start, so an urgent job preempts tasks on machines that cache its image before it
     * uses free capacity elsewhere. Likewise it preempts tasks on suitable machines before it uses machines with GPUs
     * that it does not need, where it would keep several GPUs idle for as long as it runs.
     */
    private fun placeUrgent(job: WaitingJob, tasks: Int, candidates: List<Candidate>): Int {
        val suitable = candidates.filter { !PlacementRules.wastesGpus(job.spec, it) }
        val withImage = suitable.filter { it.fetchSeconds(job.spec) <= CandidateSelection.SHORT_FETCH_S }
        val choices = listOf(withImage, suitable, candidates).filter { it.isNotEmpty() }.distinctBy { it.size }
        return choices.firstNotNullOfOrNull { placeOrPreempt(job, tasks, it) } ?: tasks
    }

    /** Returns the number of tasks that remain without a place, or null if none could be placed on these candidates. */
    private fun placeOrPreempt(job: WaitingJob, tasks: Int, candidates: List<Candidate>): Int? {
        val allocations = selection.select(job, tasks, candidates)
        val remaining = tasks - assign(job, allocations)
        if (remaining == 0) return 0
        val used = allocations.mapTo(HashSet()) { it.candidate }
        val victims = preemption.preempt(job.with(allocations), remaining, candidates.filter { it !in used })
        if (victims != null) {
            preempted += victims
            return 0
        }
        return remaining.takeIf { allocations.isNotEmpty() }
    }

    private companion object {
        fun minOfEach(a: Resources, b: Resources) =
            Resources(minOf(a.cpus, b.cpus), minOf(a.gpus, b.gpus), minOf(a.memoryGb, b.memoryGb))

        /** A starving job first gets its number of tasks divided by this. */
        const val INITIAL_SHARE_DIVISOR = 4
    }
}
