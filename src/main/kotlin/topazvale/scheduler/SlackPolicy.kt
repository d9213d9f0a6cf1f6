package topazvale.scheduler

import kotlin.time.Duration
import kotlin.time.Instant

/** How long a job can still wait for a better price. */
fun interface SlackPolicy {
    /** Zero if the job can wait no longer. */
    fun slack(job: WaitingJob, now: Instant): Duration
}

/**
 * U = max(0, D − T − (α·e + B)), with the deadline D, the current time T, the estimated run time e and the boot
 * allowance B. A job without a deadline has no slack.
 */
class UrgencySlack(private val alpha: Double, private val bootAllowance: Duration) : SlackPolicy {
    override fun slack(job: WaitingJob, now: Instant): Duration {
        val deadline = job.deadline ?: return Duration.ZERO
        return (deadline - now - (job.estimate * alpha + bootAllowance)).coerceAtLeast(Duration.ZERO)
    }
}
