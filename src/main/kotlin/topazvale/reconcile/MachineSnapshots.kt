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

/** The machines of a snapshot: those that are up or booting, with what is free on them and what will be. */
internal class MachineSnapshots(
    private val settings: Settings,
    private val cluster: ClusterState,
    private val token: Long,
) {
    /** The machines that something may be placed on, or waited for. */
    fun all(context: SnapshotContext): List<MachineState> = cluster.machines.values.mapNotNull { machine ->
        cluster.types[machine.market.type]?.let { machine(machine, it, context) }
    }

    /** Null for a machine that nothing is to be placed on, nor waited for. */
    private fun machine(machine: ManagedMachine, type: MachineType, context: SnapshotContext): MachineState? {
        if (isLeaving(machine)) return null
        val present = isPresent(machine, context)
        if (!present && !isBooting(machine, type, context)) return null
        // A report from before our term may be a late copy: of a machine that is gone, or a session that is over.
        val up = present && (machine.rentedInThisTerm || machine.token >= token)
        val ready = machine.rentedAt + type.bootTime
        return MachineState(
            host = machine.host,
            market = machine.market,
            type = type,
            free = if (machine.hasUnknownUsage) Resources.NONE else type.capacity - machine.used,
            startSlots = MOST_STARTS - machine.placements.size,
            up = up,
            readyIn = if (present) Duration.ZERO else (ready - context.now).coerceAtLeast(Duration.ZERO),
            images = machine.images,
            fetchingImages = machine.fetchingImages,
            releases = if (up) releases(machine, context) else NO_RELEASES,
            idleFor = if (machine.placements.isEmpty()) context.mark - machine.idleSince else null,
        )
    }

    private fun isLeaving(machine: ManagedMachine): Boolean {
        val useless = machine.failed || machine.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES
        return machine.returning || useless || machine.noticeEndsAt != null
    }

    private fun isPresent(machine: ManagedMachine, context: SnapshotContext): Boolean {
        val reported = machine.lastAnsweredReportAt ?: return false
        return context.mark - reported < settings.workers.reportInterval * MAX_MISSED_REPORTS &&
            machine.responseDelivery.isConfirmed
    }

    private fun isBooting(machine: ManagedMachine, type: MachineType, context: SnapshotContext): Boolean {
        if (machine.lastAnsweredReportAt != null) return false
        val expected = context.now - machine.rentedAt < type.bootTime * BOOT_TIMEOUT_FACTOR
        return expected || machine.knownSince.elapsedNow() < settings.workers.lease
    }

    /** Worked out only where somebody asks. */
    private fun releases(machine: ManagedMachine, context: SnapshotContext): Lazy<List<CapacityRelease>> =
        lazy(LazyThreadSafetyMode.NONE) { machine.placements.values.map { release(it, context) } }

    private fun release(placed: PlacedTask, context: SnapshotContext): CapacityRelease {
        val job = cluster.jobs[placed.start.task.job]
        // Whatever is left of a job that is over stops at once, and nobody loses by it.
        if (job == null) {
            return CapacityRelease(
                placed.start,
                placed.need,
                expectedIn = Duration.ZERO,
                stopping = placed.stopGracePeriod != null,
                mustStartNow = true,
            )
        }
        val ran = placed.runningSince?.let { context.mark - it } ?: Duration.ZERO
        val estimate = context.estimate(job.spec)
        return CapacityRelease(
            placed.start,
            placed.need,
            expectedIn = within(job.spec, placed, estimate - ran),
            rank = job.spec.rank,
            lostWork = if (isSpared(job, context)) null else lost(job.spec, ran),
            stopping = placed.stopGracePeriod != null,
            mustStartNow = JobOrder.mustStartNow(job.record.deadline, estimate, context.now),
        )
    }

    private fun within(spec: JobSpec, placed: PlacedTask, left: Duration): Duration =
        if (spec.isService && placed.stopGracePeriod == null) Duration.INFINITE else left.coerceAtLeast(Duration.ZERO)

    /** A job that got its first share by its age would lose it at once to those it went before. */
    private fun isSpared(job: ManagedJob, context: SnapshotContext): Boolean {
        val aged = context.now - job.record.submitted > JobOrder.STARVATION_THRESHOLD
        return job.spec.isGang || (job.doneCount == 0 && !job.spec.isService && aged)
    }

    /** The work that a stop would lose. */
    private fun lost(spec: JobSpec, ran: Duration): Duration = when {
        spec.isService -> REPLICA_LOSS
        spec.checkpoints -> minOf(ran, spec.saveTime)
        else -> ran
    }

    companion object {
        /** A machine that misses this many reports gets nothing new. */
        const val MAX_MISSED_REPORTS = 2.5

        /** A machine that takes longer than this many usual boot times is not waited for. */
        const val BOOT_TIMEOUT_FACTOR = 3

        /** A machine on which this many starts in a row failed is faulty. */
        const val MAX_CONSECUTIVE_FAILURES = 3

        /** What a machine reports of this many starts stays well below the limit of a body. */
        private const val MOST_STARTS = 400

        /** Other work is stopped before a replica is. */
        private val REPLICA_LOSS = 600.seconds
        private val NO_RELEASES = lazyOf(emptyList<CapacityRelease>())
    }
}
