package topazvale.scheduler

import topazvale.model.Rank
import kotlin.time.Duration.Companion.seconds

/**
 * Where a fetch takes as long as a task, a machine that fetches is as good as lost for that time, and if each job takes
 * the next best machine, all machines fetch for ever. Ordinary jobs rather wait for the machines that have their image,
 * as long as enough of them will soon be free: soon-free machines come first.
 */
internal class ImageWaits(private val s: Snapshot) {
    /** Tasks of this plan that wait for machines with their image already. */
    private val waiting = HashMap<String, Int>()

    /** Whether the job may wait for machines that have its image. */
    fun patient(job: WaitingJob) = job.spec.rank < Rank.URGENT && !job.spec.isGang && !JobOrder.isStarving(job, s)

    /** Of [left] tasks how many should fetch, for [seconds], rather than wait; the others are expected to. */
    fun fetching(job: WaitingJob, left: Int, seconds: Double): Int {
        val image = job.spec.image
        val release =
            (s.runningByImage[image] ?: 0) * (seconds.seconds / job.estimate.coerceAtLeast(1.seconds)).coerceAtMost(1.0)
        val expected = (release.toInt() - (waiting[image] ?: 0)).coerceIn(0, left)
        waiting.merge(image, expected, Int::plus)
        return left - expected
    }
}
