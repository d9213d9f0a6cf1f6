package topazvale.reconcile

import topazvale.model.JobSpec
import topazvale.model.Start
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Which tasks are to stop, and with how much grace. */
class TaskStopper(
    private val cluster: ClusterState,
    private val directCommands: DirectCommands,
    private val decisions: DecisionLog,
) {
    /**
     * Whatever is left of jobs that are over or of gangs that lost a task, and what is on machines about to be taken.
     * [reportedCancelled]: jobs that users were told are cancelled, by any controller. To stop a task needs no
     * certainty of leading.
     */
    fun requestStops(reportedCancelled: Set<String>) {
        for (job in cluster.jobs.values) job.isReportedCancelled = job.spec.id in reportedCancelled
        for (job in cluster.jobs.values) {
            if (job.placements.isEmpty()) continue
            val broken = job.spec.isGang && !job.isComplete && job.placements.tasks.size < job.spec.tasks
            val reason = if (job.shouldRun) StopReason.GANG_BROKEN else StopReason.JOB_OVER
            if (!job.shouldRun || broken) job.placements.all.forEach { stop(it, Duration.ZERO, reason) }
        }
        for (machine in cluster.machines.values) if (machine.noticeEndsAt != null) drain(machine)
    }

    /** Spares what it can of the work on a machine that is about to be taken. */
    private fun drain(machine: ManagedMachine) {
        for (placed in machine.placements.values) {
            val job = cluster.jobs[placed.start.task.job]
            if (job != null && placed.stopGracePeriod == null && gainsByStop(placed, job.spec)) {
                val grace = saving(placed)
                val stopped = if (job.spec.isGang) job.placements.all else listOf(placed)
                stopped.forEach { stop(it, grace, StopReason.MACHINE_TAKEN) }
            }
        }
    }

    /** A replica has nothing to lose, and the sooner it is proven gone, the sooner it serves elsewhere. */
    private fun gainsByStop(placed: PlacedTask, spec: JobSpec) = spec.checkpoints || spec.isService || !placed.hasImage

    /** Stops a task to make room for a job of higher rank. */
    fun preempt(start: Start) {
        val placements = cluster.jobs[start.task.job]?.placements?.of(start.task.index).orEmpty()
        val placed = placements.firstOrNull { it.start == start } ?: return
        stop(placed, saving(placed), StopReason.PREEMPTED)
    }

    /** The grace in which a task can save what it has done, or none where there is nothing to save. */
    private fun saving(placed: PlacedTask): Duration {
        val spec = cluster.jobs[placed.start.task.job]?.spec
        return if (spec != null && spec.checkpoints && placed.hasImage) spec.saveTime + SAVE_MARGIN else Duration.ZERO
    }

    private fun stop(placed: PlacedTask, grace: Duration, reason: StopReason) {
        val before = placed.stopGracePeriod
        if (before != null && grace >= before) return
        placed.stopGracePeriod = grace
        decisions.stopRequested(placed, reason, grace)
        directCommands.enqueue(placed.machine)
    }

    private companion object {
        val SAVE_MARGIN = 1.seconds
    }
}
