package topazvale.reconcile

import topazvale.model.JobSpec
import kotlin.time.Duration

/**
 * Estimates run times as the paper does: by the mean of the last two run times of the same team in the same queue, or
 * by the owner's estimate until there are two.
 */
class RunTimes {
    private val lastTwo = HashMap<Pair<String, String>, ArrayDeque<Duration>>()

    /** Records that a task of the job ran for [ranFor] until it was done. */
    fun recordRun(spec: JobSpec, ranFor: Duration) {
        val recent = lastTwo.getOrPut(spec.team to spec.queue) { ArrayDeque() }
        recent.addLast(ranFor)
        if (recent.size > 2) recent.removeFirst()
    }

    /** Returns the expected run time of a task of the job. */
    fun estimate(spec: JobSpec): Duration {
        val recent = lastTwo[spec.team to spec.queue]
        if (recent == null || recent.size < 2) return spec.estimate
        return (recent.first() + recent.last()) / 2
    }
}
