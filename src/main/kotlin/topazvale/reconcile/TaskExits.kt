package topazvale.reconcile

import topazvale.model.Clocks
import topazvale.model.ExitCause
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What follows from the exit of a task: its job is done, rests before it is tried again, or simply waits anew. */
internal class TaskExits(
    private val cluster: ClusterState,
    private val runTimes: RunTimes,
    private val clocks: Clocks,
    private val token: Long,
    private val decisions: DecisionLog,
) {
    /** The worker has reported the exit; [job] is null for one that is over. */
    fun exited(placed: PlacedTask, job: ManagedJob?, cause: ExitCause) {
        decisions.confirmedAbsent(placed, AbsenceProof.Exited(cause))
        if (mayBeCommandedAgain(placed)) placed.machine.retainedStarts += placed.start
        cluster.removePlacement(placed, reported = true)
        if (job == null) return
        when (cause) {
            ExitCause.DONE -> if (job.spec.isService) replicaEnded(placed, job) else done(placed, job)
            ExitCause.ERROR -> failed(placed, job)
            ExitCause.NO_ROOM, ExitCause.BUSY, ExitCause.NO_SUCH -> job.notBefore = clocks.mark() + REFUSED_PAUSE
            ExitCause.STOPPED, ExitCause.MATES_GONE, ExitCause.INCOMPLETE -> Unit
        }
    }

    /**
     * Whether a direct command that was lost may still come and start it anew, if its worker forgets it. Of a stray
     * that this leader has started itself it is not known any more what became of the command.
     */
    private fun mayBeCommandedAgain(placed: PlacedTask) =
        placed.inDoubt || (placed.isOrphaned && Attempts.termOf(placed.start.attempt) == token)

    private fun done(placed: PlacedTask, job: ManagedJob) {
        placed.runningSince?.let { runTimes.recordRun(job.spec, it.elapsedNow()) }
        placed.machine.consecutiveFailures = 0
        job.recordSuccess()
        val tasks = if (job.spec.isGang) 0 until job.spec.tasks else listOf(placed.start.task.index)
        for (index in tasks) cluster.markDone(job, index)
    }

    private fun failed(placed: PlacedTask, job: ManagedJob) {
        if (job.spec.isService) {
            replicaEnded(placed, job)
        } else {
            job.consecutiveFailures++
            job.notBefore = clocks.mark() + backoff(job.consecutiveFailures)
        }
        if (job.recordFailure(placed.machine.host)) placed.machine.consecutiveFailures++
    }

    /** A worker that keeps a result would end the replica again at once: it rests, and the others go on. */
    private fun replicaEnded(placed: PlacedTask, job: ManagedJob) {
        val ran = placed.runningSince?.elapsedNow() ?: Duration.ZERO
        job.recordReplicaExit(placed.start.task.index, ran, clocks.mark(), ::backoff)
    }

    private companion object {
        val REFUSED_PAUSE = 1.seconds
        val LONGEST_BACKOFF = 30.seconds
        const val FAILURES_WITHOUT_BACKOFF = 1
        const val MOST_DOUBLINGS = 5

        /** None after the first failure, then a second, doubled with each further one. */
        fun backoff(failures: Int): Duration {
            if (failures <= FAILURES_WITHOUT_BACKOFF) return Duration.ZERO
            val doublings = (failures - FAILURES_WITHOUT_BACKOFF - 1).coerceAtMost(MOST_DOUBLINGS)
            return (1.seconds * (1 shl doublings)).coerceAtMost(LONGEST_BACKOFF)
        }
    }
}
