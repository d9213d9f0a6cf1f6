package topazvale

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Test
import topazvale.model.Rank
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Workers that are hard to reach, and delayed messages. */
class WorkerFailuresTest : FailureScenario() {
    @Test
    fun `direct commands reach workers that can open no connection, also over a change of leader`() =
        withCluster(taskTime = 40.seconds) {
            submit(spec.copy(tasks = 20))
            awaitRunning(spec.id, 20)
            val droppingReports = workers.values.take(4)
            droppingReports.forEach { it.faults.dropsReports = true }
            failOver()
            delay(40.seconds)
            droppingReports.forEach { it.faults.dropsReports = false }
            awaitDone(spec.id)
        }

    @Test
    fun `old reports arrive after newer ones, also from earlier sessions and attempts`() =
        withCluster(taskTime = 8.seconds) {
            for (copyDelay in listOf(3.seconds, 20.seconds)) {
                duplicateReportDelay = copyDelay
                val job = spec.copy(id = "job-7${copyDelay.inWholeSeconds}", tasks = 30)
                submit(job)
                awaitRunning(job.id, 5)
                workers.values.first().faults.canReach = { false }
                delay(18.seconds)
                workers.values.first().faults.canReach = { true }
                failOver()
                awaitDone(job.id)
            }
        }

    @Test
    fun `more work than capacity, urgent and normal, while the state service is slow`() =
        withCluster(taskTime = 15.seconds) {
            capacity = 8
            nodes.values.forEach { it.state.latency = 250.milliseconds }
            val jobs = (1..10).map { i ->
                spec.copy(id = "job-1$i", tasks = 12, rank = if (i % 2 == 0) Rank.URGENT else Rank.NORMAL)
            }
            jobs.forEach { submit(it) }
            delay(20.seconds)
            cancel(jobs[3].id)
            failOver()
            (jobs - jobs[3]).forEach { awaitDone(it.id, within = 400.seconds) }
        }

    @Test
    fun `commands are delayed for seconds, and machines pause and resume`() = withCluster(taskTime = 12.seconds) {
        val jobs = (1..5).map { spec.copy(id = "job-2$it", tasks = 10) }
        submit(jobs[0])
        awaitRunning(jobs[0].id, 4)
        workers.values.forEachIndexed { i, w -> if (i % 2 == 0) w.faults.unansweredCommandDelay = (3 + i % 9).seconds }
        jobs.drop(1).forEach { submit(it) }
        delay(8.seconds)
        workers.values.forEachIndexed { i, w -> if (i % 3 == 0) w.pause((2 + i % 11).seconds) }
        cancel(jobs[1].id)
        failOver()
        delay(20.seconds)
        workers.values.forEach { it.faults.unansweredCommandDelay = null }
        (jobs - jobs[1]).forEach { awaitDone(it.id) }
    }
}
