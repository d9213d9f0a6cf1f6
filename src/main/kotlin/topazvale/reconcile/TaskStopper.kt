package topazvale.reconcile

import topazvale.model.JobSpec
import topazvale.model.Start
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Decides which tasks are to stop, and with which termination grace period. */
class TaskStopper(
    private val cluster: ClusterState,
    private val directCommands: DirectCommands,
    private val decisions: DecisionLog,
) {
    /**
     * Stops all tasks of jobs that must not run any more and of gangs that lost a task, and drains machines that the
     * cloud is about to take back. [reportedCancelled] are the jobs that any controller has reported as cancelled to
     * their users. Stopping a task does not require that the leader holds its lease.
     */
    fun requestStops(reportedCancelled: Set<String>) {
        for (job in cluster.jobs.values) job.isReportedCancelled = job.spec.id in reportedCancelled
        for (job in cluster.jobs.values) {
            if (job.placements.isEmpty()) continue
            val gangBroken = job.spec.isGang && !job.isComplete && job.placements.tasks.size < job.spec.tasks
            val reason = if (job.shouldRun) StopReason.GANG_BROKEN else StopReason.JOB_OVER
            val request = StopRequest(reason, Duration.ZERO)
            if (!job.shouldRun || gangBroken) job.placements.all.forEach { requestStop(it, request) }
        }
        for (machine in cluster.machines.values) if (machine.noticeEndsAt != null) drain(machine)
    }

    /** Stops those tasks on a machine about to be taken back that benefit from an early stop. */
    private fun drain(machine: ManagedMachine) {
        for (placed in machine.placements.values) {
            val job = cluster.jobs[placed.start.task.job]
            if (job != null && placed.stopRequest == null && benefitsFromStop(placed, job.spec)) {
                val request = StopRequest(StopReason.MACHINE_TAKEN, checkpointGracePeriod(placed))
                val stopped = if (job.spec.isGang) job.placements.all else listOf(placed)
                stopped.forEach { requestStop(it, request) }
            }
        }
    }

    /**
     * A replica loses no work by a stop, and its replacement can start as soon as the replica is confirmed absent.
     */
    private fun benefitsFromStop(placed: PlacedTask, spec: JobSpec) =
        spec.checkpoints || spec.isService || !placed.hasImage

    /** Stops a task so that a job of higher rank gets its capacity. */
    fun preempt(start: Start) {
        val placements = cluster.jobs[start.task.job]?.placements?.of(start.task.index).orEmpty()
        val placed = placements.firstOrNull { it.start == start } ?: return
        requestStop(placed, StopRequest(StopReason.PREEMPTED, checkpointGracePeriod(placed)))
    }

    /** The grace period in which the task can save a checkpoint; zero if it has nothing to save. */
    private fun checkpointGracePeriod(placed: PlacedTask): Duration {
        val spec = cluster.jobs[placed.start.task.job]?.spec
        return if (spec != null && spec.checkpoints && placed.hasImage) spec.saveTime + SAVE_MARGIN else Duration.ZERO
    }

    private fun requestStop(placed: PlacedTask, request: StopRequest) {
        if (!request.supersedes(placed.stopRequest)) return
        placed.stopRequest = request
        decisions.stopRequested(placed, request)
        directCommands.enqueue(placed.machine)
    }

    private companion object {
        val SAVE_MARGIN = 1.seconds
    }
}
