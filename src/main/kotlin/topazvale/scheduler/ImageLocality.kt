package topazvale.scheduler

import topazvale.model.Rank
import kotlin.time.Duration.Companion.seconds

/**
 * Decides whether tasks wait for machines that cache their image. Where a fetch takes as long as a task, a fetching
 * machine loses that time, and if each job took the next best machine, all machines would be fetching all the time.
 * Ordinary jobs therefore wait for machines that cache their image as long as enough of these will be free soon, and
 * machines that will be free soon come first.
 */
internal class ImageLocality(private val snapshot: Snapshot) {
    /** The tasks in this plan that already wait for machines that cache their image, by image. */
    private val waitingByImage = HashMap<String, Int>()

    /** Whether the job may wait for machines that cache its image. */
    fun mayWait(job: WaitingJob) =
        job.spec.rank < Rank.URGENT && !job.spec.isGang && !JobOrder.isStarving(job, snapshot)

    /**
     * How many of [tasks] tasks should fetch the image, which takes [fetchSeconds], instead of waiting. The others are
     * expected to find machines that cache it, which run tasks with the image now and are released in that time.
     */
    fun tasksToFetch(job: WaitingJob, tasks: Int, fetchSeconds: Double): Int {
        val image = job.spec.image
        val expectedReleases =
            (snapshot.runningByImage[image] ?: 0) *
                (fetchSeconds.seconds / job.estimate.coerceAtLeast(1.seconds)).coerceAtMost(1.0)
        val waiting = (expectedReleases.toInt() - (waitingByImage[image] ?: 0)).coerceIn(0, tasks)
        waitingByImage.merge(image, waiting, Int::plus)
        return tasks - waiting
    }
}
