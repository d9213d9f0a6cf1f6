package topazvale.reconcile

import topazvale.model.JobSpec
import kotlin.time.Duration

/** The paper's estimate: the mean of the same team's two preceding run times in a class, or the owner's word. */
class RunTimes {
    private val lastTwo = HashMap<Pair<String, String>, ArrayDeque<Duration>>()

    /** A task of the job has run for this long. */
    fun recordRun(spec: JobSpec, ran: Duration) {
        val past = lastTwo.getOrPut(spec.team to spec.queue) { ArrayDeque() }
        past.addLast(ran)
        if (past.size > 2) past.removeFirst()
    }

    /** How long a task of the job is expected to run. */
    fun estimate(spec: JobSpec): Duration {
        val past = lastTwo[spec.team to spec.queue]
        if (past == null || past.size < 2) return spec.estimate
        return (past.first() + past.last()) / 2
    }
}
