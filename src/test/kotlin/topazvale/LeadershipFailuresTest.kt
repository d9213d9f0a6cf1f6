package topazvale

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Changes of leader that meet other failures. */
class LeadershipFailuresTest : FailureScenario() {
    @Test
    fun `a report is held back until a new leader has acted`() = withCluster {
        submit(spec.copy(tasks = 12))
        awaitRunning(spec.id, 12)
        workers.values.forEach { it.faults.nextReportDelay = 12.seconds }
        delay(3.seconds)
        handOver()
        delay(40.seconds)
        awaitDone(spec.id)
    }

    @Test
    fun `a report from before a start is held back until a new leader has read of the start`() = withCluster {
        submit(spec.copy(tasks = 12))
        awaitDone(spec.id)
        workers.values.forEach { it.faults.nextReportDelay = 9.seconds }
        awaitCondition(10.seconds, "all have sent it") { workers.values.all { it.faults.nextReportDelay == null } }
        submit(long)
        awaitRunning(long.id, 6)
        val running = workers.values.filter { it.runningTasks.isNotEmpty() }
        running.forEach { it.faults.canReach = { false } }
        handOver()
        awaitCondition(10.seconds, "the reports have come") { running.all { it.faults.delayedReportArrived } }
        delay(2.seconds)
        running.forEach { it.faults.canReach = { true } }
        delay(60.seconds)
        awaitRunning(long.id, 6)
    }

    @Test
    fun `controllers hand over and back, all end, and one returns within a second`() = withCluster {
        submit(spec.copy(tasks = 20))
        awaitRunning(spec.id, 20)
        repeat(2) { handOver(back = 300.milliseconds) }
        val names = nodes.keys.toList()
        nodes.values.toList().forEach { it.stop() }
        delay(700.milliseconds)
        start(names.first())
        delay(10.seconds)
        names.drop(1).forEach { start(it) }
        awaitDone(spec.id)
    }

    @Test
    fun `arrays bound to one zone lose machines, while the leader changes too`() = withCluster(taskTime = 15.seconds) {
        val bound = spec.copy(id = "job-3", oneZone = true, tasks = 16)
        submit(bound)
        submit(spec.copy(tasks = 10, spread = true))
        awaitRunning(bound.id, 16)
        workers.values.filter { it.runningTasks.isNotEmpty() }.take(3).forEach { it.faults.canReach = { false } }
        handOver()
        workers.values.filter { it.runningTasks.isNotEmpty() }.take(1).forEach { it.pause(20.seconds) }
        awaitDone(bound.id)
        awaitDone(spec.id)
    }

    @Test
    fun `transactions without an answer are carried out after newer ones, over a change of leader too`() =
        withCluster(taskTime = 6.seconds) {
            val jobs = (1..8).map { spec.copy(id = "job-3$it", tasks = 4) }
            repeat(3) { round ->
                for (node in nodes.values) {
                    repeat(12) { i -> node.state.delayedWrites += ((i * 3 + round) % 11 + 2).seconds }
                }
                jobs.forEach { submit(it) }
                if (round > 0) handOver(back = 500.milliseconds)
                delay(10.seconds)
            }
            jobs.take(2).forEach { cancel(it.id) }
            nodes.values.forEach { it.state.delayedWrites.clear() }
            jobs.drop(2).forEach { awaitDone(it.id) }
            jobs.take(2).forEach { assertTrue(poll(it.id) in setOf("done", "withdrawn")) }
        }

    @Test
    fun `a zone with workers and the leader is cut off for longer than the lease`() =
        withCluster(taskTime = 60.seconds) {
            submit(spec.copy(tasks = 30))
            awaitRunning(spec.id, 30)
            val inside = leader!!
            val zone = workers.values.filterIndexed { i, _ -> i % 2 == 0 }
            inside.state.hanging = true
            inside.cutFromPeers = true
            for (worker in workers.values) worker.faults.canReach = { (it == inside.name) == (worker in zone) }
            delay(40.seconds)
            inside.state.hanging = false
            inside.cutFromPeers = false
            workers.values.forEach { it.faults.canReach = { true } }
            awaitDone(spec.id, within = 300.seconds)
        }

    @Test
    fun `leaders change ten times in two minutes, also inside an outage`() = withCluster(taskTime = 25.seconds) {
        submit(spec.copy(tasks = 24))
        repeat(10) { round ->
            val former = leader
            if (round == 4) store.outage = true
            if (round % 3 == 0) former?.state?.refusing = true else former?.stop()
            if (round == 5) store.outage = false
            delay(6.seconds)
            former?.state?.refusing = false
            if (former != null && former.name !in nodes) start(former.name)
            delay(6.seconds)
        }
        awaitDone(spec.id, within = 300.seconds)
    }

    @Test
    fun `all controllers are away for longer than the lease`() = withCluster(taskTime = 25.seconds) {
        submit(spec.copy(tasks = 12))
        submit(long)
        awaitRunning(spec.id, 12)
        val names = nodes.keys.toList()
        nodes.values.toList().forEach { it.stop() }
        delay(25.seconds)
        assertTrue(running.isEmpty(), "the leases have run out")
        names.forEach { start(it) }
        cancel(long.id)
        awaitDone(spec.id)
        assertEquals("withdrawn", poll(long.id))
    }

    @Test
    fun `a leader ends while machines cannot be reached or do not hear the new one`() = withCluster {
        submit(long.copy(tasks = 20))
        awaitRunning(long.id, 20)
        val (deaf, away) = workers.values.filter { it.runningTasks.isNotEmpty() }.take(4).chunked(2)
        deaf.forEach { it.faults.dropsInbound = true }
        away.forEach { it.faults.canReach = { false } }
        handOver()
        delay(50.seconds)
        awaitRunning(long.id, 20)
        deaf.forEach { it.faults.dropsInbound = false }
        away.forEach { it.faults.canReach = { true } }
        delay(20.seconds)
        cancel(long.id)
        delay(45.seconds)
    }

    @Test
    fun `jobs of a few tasks end far apart over changes of leader`() = withCluster {
        val jobs = (1..4).map { spec.copy(id = "job-6$it", tasks = 3, oneZone = it % 2 == 0) }
        taskTime = { _, index -> (5 + index * 35).seconds }
        jobs.forEach { submit(it) }
        awaitRunning(jobs.last().id, 3)
        delay(7.seconds)
        // The marks of what is done get lost with the leader.
        handOver()
        delay(20.seconds)
        handOver()
        jobs.forEach { awaitDone(it.id) }
    }

    @Test
    fun `a team at its limit, machines that cannot be asked, a new leader and a cancellation`() =
        withCluster(taskTime = 30.seconds) {
            val gpu = Samples.array.copy(id = "job-5", tasks = 8)
            val next = gpu.copy(id = "job-6")
            taskTime = { job, _ -> if (job.id == gpu.id) 300.seconds else 30.seconds }
            submit(gpu)
            awaitRunning(gpu.id, 8)
            submit(next)
            val asked = workers.values.filter { it.runningTasks.isNotEmpty() }.take(1)
            asked.forEach { it.faults.canReach = { false } }
            handOver()
            cancel(gpu.id)
            delay(40.seconds)
            assertEquals(0, runningCount(gpu.id))
            awaitDone(next.id)
        }
}
