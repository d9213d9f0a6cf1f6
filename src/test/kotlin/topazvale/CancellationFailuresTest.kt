package topazvale

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Cancellations that meet failures: what users were told must hold. */
class CancellationFailuresTest : FailureScenario() {
    /** The state service refuses the leader alone; jobs are cancelled through another node; then it is out for all. */
    private fun gap(cancelAfter: Duration) = withCluster {
        val ids = (1..6).map { long.copy(id = "job-9$it", estimate = 300.seconds) }
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
        awaitCondition(5.seconds, "what was cancelled is gone at once") { ids.take(4).all { runningCount(it.id) == 0 } }
        delay(60.seconds)
        // What nobody cancelled need not fall with it.
        ids.drop(4).forEach { assertEquals(6, runningCount(it.id), it.id) }
        store.outage = false
        delay(20.seconds)
        ids.take(4).forEach { assertEquals("withdrawn", poll(it.id)) }
        ids.drop(4).forEach { cancel(it.id) }
        delay(50.seconds)
    }

    @Test
    fun `cancelled through another node as the leader is refused, then an outage for longer than cancel_s`() =
        gap(500.milliseconds)

    @Test
    fun `cancelled at the very moment at which the leader is refused`() = gap(Duration.ZERO)

    @Test
    fun `a node that has started anew vouches for nothing, and the leases run out in time`() = withCluster {
        submit(long)
        awaitRunning(long.id, 6)
        val former = leader!!
        former.state.refusing = true
        val other = followers.first()
        assertEquals("withdrawn", cancel(long.id, other))
        store.outage = true
        other.stop()
        delay(1.seconds)
        start(other.name)
        delay(70.seconds)
        assertEquals(0, runningCount(long.id))
        former.state.refusing = false
        store.outage = false
        delay(20.seconds)
        assertEquals("withdrawn", poll(long.id))
    }

    @Test
    fun `a cancellation of unknown outcome stops the tasks, and the job runs on if it was not carried out`() =
        withCluster {
            submit(long)
            awaitRunning(long.id, 6)
            val other = followers.first()
            // It reaches the state service long after all this.
            other.state.delayedWrites += 1000.seconds
            assertEquals(null, tryCancel(long.id, other))
            awaitCondition(6.seconds, "its tasks are stopped") { runningCount(long.id) == 0 }
            // The node is gone for good, and its word with it.
            other.stop()
            delay(90.seconds)
            assertEquals("running", poll(long.id))
            awaitRunning(long.id, 6)
        }

    @Test
    fun `after an outage nothing starts before the watch has told of cancellations`() = withCluster {
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
    fun `a leader that keeps its lease, and learns from neither watch nor peers what users cancel`() = withCluster {
        submit(long)
        awaitRunning(long.id, 6)
        val former = leader!!
        former.state.watchesHang = true
        former.cutFromPeers = true
        cancel(long.id, followers.first())
        delay(50.seconds)
        assertEquals(0, runningCount(long.id))
        submit(spec)
        awaitDone(spec.id)
    }

    @Test
    fun `the state service answers slowly while users cancel and ask`() = withCluster(taskTime = 10.seconds) {
        val jobs = (1..6).map { spec.copy(id = "job-4$it") }
        nodes.values.forEach { it.state.latency = 600.milliseconds }
        jobs.forEach { submit(it) }
        delay(5.seconds)
        jobs.take(3).forEach { cancel(it.id) }
        repeat(10) { jobs.forEach { poll(it.id) } }
        jobs.drop(3).forEach { awaitDone(it.id) }
    }

    @Test
    fun `a cancellation, a question and a submission meet the end of a job's last task`() =
        withCluster(taskTime = 5.seconds) {
            // Each time a little later than before, over the whole time from the last task's end to the end of the job.
            for (i in 0..24) {
                val job = spec.copy(id = "job-8$i", tasks = 1)
                submit(job)
                awaitRunning(job.id, 1)
                delay(4600.milliseconds + (i * 60).milliseconds)
                val (first, second) = followers
                if (i % 4 == 3) leader!!.state.delayedWrites += 3.seconds
                if (i % 5 == 4) first.state.delayedWrites += 3.seconds
                val asking = listOf<suspend () -> Unit>(
                    { poll(job.id, second) },
                    { submit(job, leader) },
                    { poll(job.id, first) },
                )
                coroutineScope {
                    asking.forEach { launch { it() } }
                    launch { cancel(job.id, first) }
                }
                val end = poll(job.id)
                delay(4.seconds)
                assertEquals(end, poll(job.id), job.id)
            }
        }

    @Test
    fun `tasks are cancelled whose machines hang and go on later`() = withCluster {
        submit(long)
        awaitRunning(long.id, 6)
        workers.values.filter { it.runningTasks.isNotEmpty() }.forEachIndexed { i, w -> w.pause((11 + i).seconds) }
        cancel(long.id)
        handOver()
        delay(50.seconds)
        assertEquals(0, runningCount(long.id))
    }

    @Test
    fun `a command is held up for longer than cancel_s, and its job cancelled meanwhile`() = withCluster {
        submit(spec)
        awaitDone(spec.id)
        workers.values.forEach { it.faults.unansweredCommandDelay = 50.seconds }
        submit(long)
        delay(700.milliseconds)
        cancel(long.id)
        delay(70.seconds)
        assertEquals("withdrawn", poll(long.id))
    }

    @Test
    fun `a leader keeps only its workers and users, and jobs are cancelled through the new one`() = withCluster {
        submit(long.copy(tasks = 12))
        awaitRunning(long.id, 12)
        val former = leader!!
        former.state.hanging = true
        former.cutFromPeers = true
        awaitCondition(20.seconds, "another one leads") { leader !== former }
        assertEquals("withdrawn", cancel(long.id, leader))
        repeat(10) {
            poll(long.id, former)
            delay(4.seconds)
        }
        submit(spec, leader)
        former.state.hanging = false
        former.cutFromPeers = false
        awaitDone(spec.id)
    }
}
