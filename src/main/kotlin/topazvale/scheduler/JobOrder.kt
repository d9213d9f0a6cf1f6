package topazvale.scheduler

import topazvale.model.Objective
import topazvale.model.ObjectiveKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Decides which jobs go first when there is not room for all. */
class JobOrder {
    /** A job with what it is compared by, worked out once. */
    private class Ranked(val job: WaitingJob, s: Snapshot) {
        val starving = isStarving(job, s)
        val old = job.hasStarted && s.now - job.submitted > STARVATION_THRESHOLD * OLD_PATIENCE
        val inTurn = starving || old || (job.spec.isGang && job.spec.queue !in s.overloadedQueues)
        val missed = if (inTurn) 0 else missed(job, s)
        val work =
            if (inTurn || !timed(job, s)) 0.0 else job.spec.estimate.toDouble(DurationUnit.SECONDS) * job.pendingTasks
    }

    /**
     * Higher ranks first, then what its team is guaranteed. Then those jobs of whose objectives the fewest are missed
     * by now, and of them the ones with the least left to do: when more is asked than can be done, that keeps most
     * promises, where first come, first served would make every job late. Gangs take turns until there are too many:
     * a large one can wait for its room only if the small ones that come later do not take it.
     *
     * That order alone would put the largest jobs back for ever, and lower ranks altogether. A job that has waited for
     * long and of which nothing has begun goes before all others, until it has begun; one that has begun and has waited
     * for longer still goes before its own rank only. If it went before others it would take the room that they have
     * just had it leave, and so on without end.
     */
    fun sorted(s: Snapshot): List<WaitingJob> = s.jobs.map { Ranked(it, s) }.sortedWith(
        compareByDescending<Ranked> { it.starving }
            .thenByDescending { it.job.spec.rank }
            .thenByDescending { it.old }
            .thenByDescending { it.job.withinGuarantee }
            .thenBy { it.missed }
            .thenBy { it.work }
            .thenBy { it.job.submitted },
    ).map { it.job }

    companion object {
        /** Less than half of what is the longest anybody should wait for a beginning. */
        val STARVATION_THRESHOLD = 90.seconds

        /**
         * A gang that has begun waits for nothing more. Where there are too many, all that starve go before all that
         * are new, and the sooner they do, the fewer of the new ones start in time.
         */
        val CROWDED_PATIENCE = 150.seconds

        /** A job that has begun goes first in its rank after so many times its patience. */
        private const val OLD_PATIENCE = 1.5

        fun isStarving(job: WaitingJob, s: Snapshot): Boolean {
            val patience =
                if (job.spec.isGang && job.spec.queue in s.overloadedQueues) CROWDED_PATIENCE else STARVATION_THRESHOLD
            return !job.hasStarted && s.now - job.submitted > patience
        }

        /** Whether its users expect it by some time; among others the first to come is the first to go. */
        private fun timed(job: WaitingJob, s: Snapshot) = job.deadline != null || job.spec.queue in s.objectives

        /** How many objectives of its class cannot be met any more; a deadline counts as one where there are none. */
        private fun missed(job: WaitingJob, s: Snapshot): Int {
            val objectives =
                s.objectives[job.spec.queue] ?: return if (latest(job, 1.0)?.let { it < s.now } == true) 1 else 0
            return objectives.count { o -> latestStart(job, o)?.let { it < s.now } == true }
        }

        private fun latestStart(job: WaitingJob, o: Objective): Instant? = when (o.kind) {
            ObjectiveKind.STARTED -> job.submitted + o.within
            ObjectiveKind.FINISHED -> job.submitted + o.within - job.estimate
            ObjectiveKind.DEADLINE -> latest(job, o.deadlineFactor)
        }

        /** Whether a job has to start about now to be in time; one without a deadline always has to. */
        fun mustStartNow(deadline: Instant?, estimate: Duration, now: Instant) =
            deadline == null || deadline - now < estimate * MARGIN

        /** Run times are known roughly. */
        private const val MARGIN = 1.25

        /** When a job has to start to be done within its deadline taken so many times; null where it has none. */
        private fun latest(job: WaitingJob, times: Double): Instant? =
            job.deadline?.let { job.submitted + (it - job.submitted) * times - job.estimate }
    }
}
