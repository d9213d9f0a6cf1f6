package topazvale.scheduler

import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Which jobs go first when there is not room for all. */
class JobOrder {
    /** A job with what it is compared by, worked out once. */
    private class Ranked(val job: WaitingJob, s: Snapshot) {
        val starving = s.now - job.submitted > (if (job.begun) PATIENCE * 2 else PATIENCE)
        val late = job.deadline != null && s.now + job.estimate > job.deadline
        val work = if (job.deadline == null) 0.0 else job.estimate.toDouble(DurationUnit.SECONDS) * job.pending
    }

    /**
     * Higher ranks first, then what its team is guaranteed. Then those jobs that can still be in time, and of them the
     * ones with the least left to do: when more is asked than can be done, that brings most jobs home, where the
     * earliest deadline first would bring them all too late.
     *
     * That order alone would put the largest jobs back for ever, and lower ranks altogether. One that has waited for
     * long goes before all others, sooner if nothing of it has begun.
     */
    fun sorted(s: Snapshot): List<WaitingJob> = s.jobs.map { Ranked(it, s) }.sortedWith(
        compareByDescending<Ranked> { it.starving }
            .thenByDescending { it.job.spec.rank }
            .thenByDescending { it.job.withinGuarantee }
            .thenBy { it.late && !it.starving }
            .thenBy { if (it.starving) 0.0 else it.work }
            .thenBy { it.job.submitted },
    ).map { it.job }

    companion object {
        /** Half of what is the longest anybody should wait for a beginning. */
        val PATIENCE = 90.seconds
    }
}
