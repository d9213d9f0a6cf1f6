package topazvale.scheduler

import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Which jobs go first when there is not room for all. */
class JobOrder {
    /** A job with what it is compared by, worked out once. */
    private class Ranked(val job: WaitingJob, s: Snapshot) {
        val starving = starving(job, s.now)
        val old = job.begun && s.now - job.submitted > PATIENCE * 1.5
        val late = job.deadline != null && s.now + job.estimate > job.deadline
        val work = if (job.deadline == null) 0.0 else job.estimate.toDouble(DurationUnit.SECONDS) * job.pending
    }

    /**
     * Higher ranks first, then what its team is guaranteed. Then those jobs that can still be in time, and of them the
     * ones with the least left to do: when more is asked than can be done, that brings most jobs home, where the
     * earliest deadline first would bring them all too late.
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
            .thenBy { it.late && !it.starving && !it.old }
            .thenBy { if (it.starving || it.old) 0.0 else it.work }
            .thenBy { it.job.submitted },
    ).map { it.job }

    companion object {
        /** Less than half of what is the longest anybody should wait for a beginning. */
        val PATIENCE = 90.seconds

        fun starving(job: WaitingJob, now: Instant) = !job.begun && now - job.submitted > PATIENCE
    }
}
