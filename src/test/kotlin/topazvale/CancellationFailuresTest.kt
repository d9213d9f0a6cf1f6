package topazvale

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Assertions.assertAll
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.function.Executable
import topazvale.fake.FakeCluster
import topazvale.model.Rank
import topazvale.model.Resources
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Cancellations during failures. A status that a user was told must stay true. */
class CancellationFailuresTest : FailureScenario() {
    private val wholeMachine = Resources(16.0, 0.0, 16.0)

    /** The state service refuses only the leader while jobs are cancelled through another node, then fails for all. */
    private fun cancelBeforeOutage(cancelAfter: Duration) = withCluster {
        val ids = (1..6).map { longJob.copy(id = "job-9$it", estimate = 300.seconds) }
        taskTime = { _, _ -> 300.seconds }
        ids.forEach { submit(it) }
        ids.forEach { awaitRunning(it.id, 6) }
        val former = leader!!
        former.state.refusing = true
        delay(cancelAfter)
        ids.take(4).forEach { cancel(it.id, followers.first()) }
        delay(1.seconds)
        store.outage = true
        delay(cancelAfter)
        former.state.refusing = false
        awaitCondition(5.seconds, "the cancelled jobs have stopped") { ids.take(4).all { runningCount(it.id) == 0 } }
        delay(60.seconds)
        // The jobs that were not cancelled keep running.
        ids.drop(4).forEach { assertEquals(6, runningCount(it.id), it.id) }
        store.outage = false
        delay(20.seconds)
        ids.take(4).forEach { assertEquals("withdrawn", poll(it.id)) }
        ids.drop(4).forEach { cancel(it.id) }
        delay(50.seconds)
    }

    @Test
    fun `jobs cancelled elsewhere while the leader is refused stay cancelled in an outage longer than cancel_s`() =
        cancelBeforeOutage(500.milliseconds)

    @Test
    fun `jobs cancelled at the moment at which the leader is refused stay cancelled`() =
        cancelBeforeOutage(Duration.ZERO)

    @Test
    fun `a restarted node has no complete cancellation log, and the leases of cancelled tasks expire in time`() =
        withCluster {
            submit(longJob)
            awaitRunning(longJob.id, 6)
            val former = leader!!
            former.state.refusing = true
            val other = followers.first()
            assertEquals("withdrawn", cancel(longJob.id, other))
            store.outage = true
            other.stop()
            delay(1.seconds)
            start(other.name)
            delay(70.seconds)
            assertEquals(0, runningCount(longJob.id))
            former.state.refusing = false
            store.outage = false
            delay(20.seconds)
            assertEquals("withdrawn", poll(longJob.id))
        }

    @Test
    fun `a cancellation with unknown outcome stops the tasks, which restart if it was not carried out`() = withCluster {
        submit(longJob)
        awaitRunning(longJob.id, 6)
        val other = followers.first()
        // The write reaches the state service only after the end of the test.
        other.state.delayedWrites += 1000.seconds
        assertEquals(null, tryCancel(longJob.id, other))
        awaitCondition(6.seconds, "its tasks are stopped") { runningCount(longJob.id) == 0 }
        // The node ends for good, and its knowledge of the requested cancellation is lost with it.
        other.stop()
        delay(90.seconds)
        assertEquals("running", poll(longJob.id))
        awaitRunning(longJob.id, 6)
    }

    @Test
    fun `after an outage no task starts before the watch has delivered the cancellations`() = withCluster {
        capacity = 0
        submit(spec)
        val former = leader!!
        former.state.refusing = true
        cancel(spec.id, followers.first())
        store.outage = true
        delay(70.seconds)
        former.state.refusing = false
        capacity = 10
        former.state.watchesHang = true
        store.outage = false
        delay(8.seconds)
        former.state.watchesHang = false
        delay(60.seconds)
        assertEquals(0, starts)
    }

    @Test
    fun `tasks stop when a leader with a lease learns of cancellations from neither its watch nor its peers`() =
        withCluster {
            submit(longJob)
            awaitRunning(longJob.id, 6)
            val former = leader!!
            former.state.watchesHang = true
            former.cutFromPeers = true
            cancel(longJob.id, followers.first())
            delay(50.seconds)
            assertEquals(0, runningCount(longJob.id))
            submit(spec)
            awaitDone(spec.id)
        }

    @Test
    fun `the state service responds slowly while users cancel jobs and poll their status`() =
        withCluster(taskTime = 10.seconds) {
            val jobs = (1..6).map { spec.copy(id = "job-4$it") }
            nodes.values.forEach { it.state.latency = 600.milliseconds }
            jobs.forEach { submit(it) }
            delay(5.seconds)
            jobs.take(3).forEach { cancel(it.id) }
            repeat(10) { jobs.forEach { poll(it.id) } }
            jobs.drop(3).forEach { awaitDone(it.id) }
        }

    @Test
    fun `a cancellation, a status request and a submission coincide with the end of a job's last task`() =
        withCluster(taskTime = 5.seconds) {
            // Each round sends its requests a little later, from the end of the last task to the end of the job.
            for (i in 0..24) {
                val job = spec.copy(id = "job-8$i", tasks = 1)
                submit(job)
                awaitRunning(job.id, 1)
                delay(4600.milliseconds + (i * 60).milliseconds)
                val (first, second) = followers
                if (i % 4 == 3) leader!!.state.delayedWrites += 3.seconds
                if (i % 5 == 4) first.state.delayedWrites += 3.seconds
                val requests = listOf<suspend () -> Unit>(
                    { poll(job.id, second) },
                    { submit(job, leader) },
                    { poll(job.id, first) },
                )
                coroutineScope {
                    requests.forEach { launch { it() } }
                    launch { cancel(job.id, first) }
                }
                val finalStatus = poll(job.id)
                delay(4.seconds)
                assertEquals(finalStatus, poll(job.id), job.id)
            }
        }

    @Test
    fun `tasks are cancelled while their machines are paused, and the machines resume later`() = withCluster {
        submit(longJob)
        awaitRunning(longJob.id, 6)
        workers.values.filter { it.runningTasks.isNotEmpty() }.forEachIndexed { i, w -> w.pause((11 + i).seconds) }
        cancel(longJob.id)
        failOver()
        delay(50.seconds)
        assertEquals(0, runningCount(longJob.id))
    }

    /** Guards against a cancelled task that goes on saving for longer than cancel_s because it was preempted before. */
    @Test
    fun `a task that saves because it was preempted ends when its job is cancelled, however the stop reaches it`() {
        val failures = listOf<Pair<String, suspend FakeCluster.() -> Unit>>(
            "no failure" to {},
            "direct commands do not arrive" to { workers.values.forEach { it.faults.dropsCommands = true } },
            "reports do not arrive" to { workers.values.forEach { it.faults.dropsReports = true } },
            "another controller leads" to { failOver() },
            "another controller leads, and direct commands do not arrive" to {
                workers.values.forEach { it.faults.dropsCommands = true }
                failOver()
            },
        )
        assertAll(failures.map { (name, injectFailure) -> Executable { cancelWhileSaving(name, injectFailure) } })
    }

    private fun cancelWhileSaving(name: String, injectFailure: suspend FakeCluster.() -> Unit) = withCluster {
        zonesWithoutCapacity = setOf("b")
        capacity = 1
        val saving = longJob.copy(tasks = 1, need = wholeMachine, saveTime = 60.seconds, spotAllowed = false)
        submit(saving)
        awaitRunning(saving.id, 1)
        submit(saving.copy(id = "job-8", rank = Rank.URGENT, checkpointInterval = Duration.ZERO))
        awaitCondition(10.seconds, "the task saves") { workers.values.any { it.savingTasks.isNotEmpty() } }
        injectFailure()
        assertEquals("withdrawn", cancel(saving.id), name)
        delay(settings.workers.cancelLimit + 1.seconds)
        assertEquals(0, runningCount(saving.id), name)
    }

    @Test
    fun `a command is delayed for longer than cancel_s while its job is cancelled`() = withCluster {
        submit(spec)
        awaitDone(spec.id)
        workers.values.forEach { it.faults.unansweredCommandDelay = 50.seconds }
        submit(longJob)
        delay(700.milliseconds)
        cancel(longJob.id)
        delay(70.seconds)
        assertEquals("withdrawn", poll(longJob.id))
    }

    @Test
    fun `a former leader reaches only workers and users while a job is cancelled through the new leader`() =
        withCluster {
            submit(longJob.copy(tasks = 12))
            awaitRunning(longJob.id, 12)
            val former = leader!!
            former.state.hanging = true
            former.cutFromPeers = true
            awaitCondition(20.seconds, "another controller leads") { leader !== former }
            assertEquals("withdrawn", cancel(longJob.id, leader))
            repeat(10) {
                poll(longJob.id, former)
                delay(4.seconds)
            }
            submit(spec, leader)
            former.state.hanging = false
            former.cutFromPeers = false
            awaitDone(spec.id)
        }
}
