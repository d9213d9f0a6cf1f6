package topazvale.reconcile

import topazvale.model.Clocks
import topazvale.model.ExitCause
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Applies the exit of a task to its job: the task is done, waits for a backoff, or may be started again at once. */
internal class TaskExits(
    private val cluster: ClusterState,
    private val runTimes: RunTimes,
    private val clocks: Clocks,
    private val decisions: DecisionLog,
) {
    /** Applies an exit that the worker reported; [job] is null if the job has finished. */
    fun applyExit(placed: PlacedTask, job: ManagedJob?, cause: ExitCause) {
        decisions.confirmedAbsent(placed, AbsenceProof.Exited(cause))
        cluster.startHistory.exited(placed.start, cause)
        cluster.removePlacement(placed, reported = true)
        if (job == null) return
        when (cause) {
            ExitCause.DONE -> if (job.spec.isService) applyReplicaExit(placed, job) else applySuccess(placed, job)
            ExitCause.ERROR -> applyFailure(placed, job)
            ExitCause.NO_ROOM, ExitCause.BUSY, ExitCause.NO_SUCH -> job.notBefore = clocks.mark() + REJECTION_BACKOFF
            ExitCause.STOPPED, ExitCause.MATES_GONE, ExitCause.INCOMPLETE -> Unit
        }
    }

    private fun applySuccess(placed: PlacedTask, job: ManagedJob) {
        placed.runningSince?.let { runTimes.recordRun(job.spec, it.elapsedNow()) }
        placed.machine.consecutiveFailures = 0
        job.recordSuccess()
        val tasks = if (job.spec.isGang) 0 until job.spec.tasks else listOf(placed.start.task.index)
        for (index in tasks) cluster.markDone(job, index)
    }

    private fun applyFailure(placed: PlacedTask, job: ManagedJob) {
        if (job.spec.isService) {
            applyReplicaExit(placed, job)
        } else {
            job.consecutiveFailures++
            job.notBefore = clocks.mark() + backoff(job.consecutiveFailures)
        }
        if (job.recordFailure(placed.machine.host)) placed.machine.consecutiveFailures++
    }

    /** A worker that still knows a result ends the replica again at once, so that replica alone waits for a backoff. */
    private fun applyReplicaExit(placed: PlacedTask, job: ManagedJob) {
        val ran = placed.runningSince?.elapsedNow() ?: Duration.ZERO
        job.recordReplicaExit(placed.start.task.index, ran, clocks.mark(), ::backoff)
    }

    private companion object {
        val REJECTION_BACKOFF = 1.seconds
        val MAX_BACKOFF = 30.seconds
        const val FAILURES_WITHOUT_BACKOFF = 1
        const val MAX_DOUBLINGS = 5

        /** Zero after the first failure, one second after the next, doubled with each further one. */
        fun backoff(failures: Int): Duration {
            if (failures <= FAILURES_WITHOUT_BACKOFF) return Duration.ZERO
            val doublings = (failures - FAILURES_WITHOUT_BACKOFF - 1).coerceAtMost(MAX_DOUBLINGS)
            return (1.seconds * (1 shl doublings)).coerceAtMost(MAX_BACKOFF)
        }
    }
}
