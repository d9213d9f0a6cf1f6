package topazvale.reconcile

import topazvale.config.Settings
import topazvale.model.JobSpec
import topazvale.model.MachineType
import topazvale.model.Rank
import topazvale.model.Resources
import topazvale.scheduler.CapacityRelease
import topazvale.scheduler.JobOrder
import topazvale.scheduler.MachineState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The machines of a snapshot: those that are up or booting, with their free capacity and its expected releases. */
internal class MachineSnapshots(
    private val settings: Settings,
    private val cluster: ClusterState,
    private val token: Long,
) {
    /** The machines that can take tasks now or after they have booted. */
    fun all(context: SnapshotContext): List<MachineState> = cluster.machines.values.mapNotNull { machine ->
        cluster.types[machine.market.type]?.let { machineState(machine, it, context) }
    }

    /** Null for a machine that gets no new tasks and is not expected to come up. */
    private fun machineState(machine: ManagedMachine, type: MachineType, context: SnapshotContext): MachineState? {
        if (isLeaving(machine)) return null
        val reporting = isReporting(machine, context)
        if (!reporting && !isBooting(machine, type, context)) return null
        // A report under an earlier term's token may be a delayed copy, from a returned machine or an ended session.
        val up = reporting && (machine.rentedInThisTerm || machine.token >= token)
        val expectedUpAt = machine.rentedAt + type.bootTime
        return MachineState(
            host = machine.host,
            market = machine.market,
            type = type,
            free = if (machine.hasUnknownUsage) Resources.NONE else type.capacity - machine.used,
            startSlots = MAX_STARTS - machine.placements.size - machine.retainedExits,
            up = up,
            readyIn = if (reporting) Duration.ZERO else (expectedUpAt - context.now).coerceAtLeast(Duration.ZERO),
            images = machine.images,
            fetchingImages = machine.fetchingImages,
            releases = if (up) releases(machine, context) else NO_RELEASES,
            idleFor = if (machine.placements.isEmpty()) context.mark - machine.idleSince else null,
        )
    }

    private fun isLeaving(machine: ManagedMachine): Boolean {
        val unusable =
            machine.failed || machine.isMarketDisputed || machine.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES
        return machine.returning || unusable || machine.noticeEndsAt != null
    }

    private fun isReporting(machine: ManagedMachine, context: SnapshotContext): Boolean {
        val lastAnsweredAt = machine.lastAnsweredReportAt ?: return false
        return context.mark - lastAnsweredAt < settings.workers.reportInterval * MAX_MISSED_REPORTS &&
            machine.responseDelivery.isConfirmed
    }

    private fun isBooting(machine: ManagedMachine, type: MachineType, context: SnapshotContext): Boolean {
        if (machine.lastAnsweredReportAt != null) return false
        val expected = context.now - machine.rentedAt < type.bootTime * BOOT_TIMEOUT_FACTOR
        return expected || machine.knownSince.elapsedNow() < settings.workers.lease
    }

    /** Computed only when the scheduler reads it. */
    private fun releases(machine: ManagedMachine, context: SnapshotContext): Lazy<List<CapacityRelease>> =
        lazy(LazyThreadSafetyMode.NONE) { machine.placements.values.map { release(it, context) } }

    private fun release(placed: PlacedTask, context: SnapshotContext): CapacityRelease {
        val job = cluster.jobs[placed.start.task.job]
        // Remaining tasks of a finished job stop immediately, and no job loses work by that.
        if (job == null) {
            return CapacityRelease(
                placed.start,
                placed.need,
                expectedIn = Duration.ZERO,
                stopping = placed.stopRequest != null,
                mustStartNow = true,
            )
        }
        val ranFor = placed.runningSince?.let { context.mark - it } ?: Duration.ZERO
        val estimate = context.estimate(job.spec)
        return CapacityRelease(
            placed.start,
            placed.need,
            expectedIn = expectedIn(job.spec, placed, estimate - ranFor),
            rank = job.spec.rank,
            lostWork = if (isExemptFromPreemption(job, context)) null else lostWork(job.spec, ranFor),
            stopping = placed.stopRequest != null,
            mustStartNow = JobOrder.mustStartNow(job.record.deadline, estimate, context.now),
        )
    }

    /** The time until the task is expected to release its capacity; [left] is the rest of its estimated run time. */
    private fun expectedIn(spec: JobSpec, placed: PlacedTask, left: Duration): Duration =
        if (spec.isService && placed.stopRequest == null) Duration.INFINITE else left.coerceAtLeast(Duration.ZERO)

    /**
     * Gangs are exempt, and so are jobs past the starvation threshold with no task done: such a job got its capacity
     * ahead of other jobs because of its age, and would lose it to them at once.
     */
    private fun isExemptFromPreemption(job: ManagedJob, context: SnapshotContext): Boolean {
        val starved = context.now - job.record.submitted > JobOrder.STARVATION_THRESHOLD
        return job.spec.isGang || (job.doneCount == 0 && !job.spec.isService && starved)
    }

    /** The work that is lost if the task stops now. */
    private fun lostWork(spec: JobSpec, ranFor: Duration): Duration = when {
        spec.isService -> REPLICA_STOP_COST
        spec.checkpoints -> minOf(ranFor, spec.saveTime)
        else -> ranFor
    }

    companion object {
        /** A machine that has missed this many reports gets no new tasks. */
        const val MAX_MISSED_REPORTS = 2.5

        /** Usual boot times after which a booting machine is no longer expected to come up. */
        const val BOOT_TIMEOUT_FACTOR = 3

        /** A machine on which this many starts in a row have failed is faulty. */
        const val MAX_CONSECUTIVE_FAILURES = 3

        /** A report that lists this many starts stays well below the size limit of a body. */
        private const val MAX_STARTS = 400

        /** High enough that other work is preempted before a replica. */
        private val REPLICA_STOP_COST = 600.seconds
        private val NO_RELEASES = lazyOf(emptyList<CapacityRelease>())
    }
}
