package topazvale.scheduler

import topazvale.model.Objective
import topazvale.model.ObjectiveKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Decides which jobs are placed first when there is not enough capacity for all. */
class JobOrder {
    /** A job with its sort keys, each computed once. */
    private class SortableJob(val job: WaitingJob, snapshot: Snapshot) {
        val isStarving = isStarving(job, snapshot)
        val isAged = job.hasStarted && snapshot.now - job.submitted > STARVATION_THRESHOLD * AGING_FACTOR
        val inArrivalOrder =
            isStarving || isAged || (job.spec.isGang && job.spec.queue !in snapshot.overloadedQueues)
        val missedObjectives = if (inArrivalOrder) 0 else countMissedObjectives(job, snapshot)
        val remainingWork =
            if (inArrivalOrder || !hasTimeTarget(job, snapshot)) {
                0.0
            } else {
                job.spec.estimate.toDouble(DurationUnit.SECONDS) * job.pendingTasks
            }
    }

    /**
     * Orders jobs by rank, and within a rank those within their team's guarantee first. Then come the jobs with the
     * fewest missed objectives, and of these the ones with the least remaining work: under overload this meets the most
     * objectives, whereas first come, first served would make every job late. Gangs are served in arrival order until
     * their queue is overloaded: a large gang gets its capacity only if smaller gangs that arrive later do not take it.
     *
     * This order alone would starve the largest jobs, and low ranks altogether. A job that has waited for long without
     * any start therefore goes before all others until it has started. A job that has started and has waited even
     * longer goes first only within its own rank: if it went before higher ranks, it would take back the capacity that
     * they have just gained by preempting it, in an endless cycle.
     */
    fun sorted(snapshot: Snapshot): List<WaitingJob> = snapshot.jobs.map { SortableJob(it, snapshot) }.sortedWith(
        compareByDescending<SortableJob> { it.isStarving }
            .thenByDescending { it.job.spec.rank }
            .thenByDescending { it.isAged }
            .thenByDescending { it.job.withinGuarantee }
            .thenBy { it.missedObjectives }
            .thenBy { it.remainingWork }
            .thenBy { it.job.submitted },
    ).map { it.job }

    companion object {
        /**
         * A job without any start counts as starving after this wait, which is less than half of the longest acceptable
         * wait for a start.
         */
        val STARVATION_THRESHOLD = 90.seconds

        /**
         * The starvation threshold for gangs of an overloaded queue. A gang that has started waits for nothing more.
         * Starving gangs go before all new ones, so with a lower threshold fewer new gangs of an overloaded queue start
         * in time.
         */
        val OVERLOADED_STARVATION_THRESHOLD = 150.seconds

        /** A job that has started goes first in its rank after this many times the starvation threshold. */
        private const val AGING_FACTOR = 1.5

        fun isStarving(job: WaitingJob, snapshot: Snapshot): Boolean {
            val threshold =
                if (job.spec.isGang && job.spec.queue in snapshot.overloadedQueues) {
                    OVERLOADED_STARVATION_THRESHOLD
                } else {
                    STARVATION_THRESHOLD
                }
            return !job.hasStarted && snapshot.now - job.submitted > threshold
        }

        /** Whether the job has a deadline or its queue has objectives; other jobs are served in arrival order. */
        private fun hasTimeTarget(job: WaitingJob, snapshot: Snapshot) =
            job.deadline != null || job.spec.queue in snapshot.objectives

        /** How many objectives of its queue the job can no longer meet; without any, its deadline counts as one. */
        private fun countMissedObjectives(job: WaitingJob, snapshot: Snapshot): Int {
            val objectives = snapshot.objectives[job.spec.queue]
                ?: return if (latestStartByDeadline(job, 1.0)?.let { it < snapshot.now } == true) 1 else 0
            return objectives.count { objective -> latestStart(job, objective)?.let { it < snapshot.now } == true }
        }

        private fun latestStart(job: WaitingJob, objective: Objective): Instant? = when (objective.kind) {
            ObjectiveKind.STARTED -> job.submitted + objective.within
            ObjectiveKind.FINISHED -> job.submitted + objective.within - job.estimate
            ObjectiveKind.DEADLINE -> latestStartByDeadline(job, objective.deadlineFactor)
        }

        /** Whether a job has to start about now to meet its deadline; always true without a deadline. */
        fun mustStartNow(deadline: Instant?, estimate: Duration, now: Instant) =
            deadline == null || deadline - now < estimate * ESTIMATE_MARGIN

        /** Run times are known only roughly. */
        private const val ESTIMATE_MARGIN = 1.25

        /**
         * When the job has to start to finish within [deadlineFactor] times the time that it was given until its
         * deadline; null without a deadline.
         */
        private fun latestStartByDeadline(job: WaitingJob, deadlineFactor: Double): Instant? =
            job.deadline?.let { job.submitted + (it - job.submitted) * deadlineFactor - job.estimate }
    }
}
