package topazvale

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.fake.FakeCluster
import topazvale.store.Keys
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Changes of leader during other failures. */
class LeadershipFailuresTest : FailureScenario() {
    @Test
    fun `a report is delayed until a new leader has acted`() = withCluster {
        submit(spec.copy(tasks = 12))
        awaitRunning(spec.id, 12)
        workers.values.forEach { it.faults.nextReportDelay = 12.seconds }
        delay(3.seconds)
        failOver()
        delay(40.seconds)
        awaitDone(spec.id)
    }

    @Test
    fun `a report sent before a start is delayed until a new leader has read the record of the start`() = withCluster {
        submit(spec.copy(tasks = 12))
        awaitDone(spec.id)
        workers.values.forEach { it.faults.nextReportDelay = 9.seconds }
        awaitCondition(10.seconds, "every worker has sent its delayed report") {
            workers.values.all {
                it.faults.nextReportDelay == null
            }
        }
        submit(longJob)
        awaitRunning(longJob.id, 6)
        val running = workers.values.filter { it.runningTasks.isNotEmpty() }
        running.forEach { it.faults.canReach = { false } }
        failOver()
        awaitCondition(10.seconds, "the delayed reports have arrived") {
            running.all { it.faults.delayedReportArrived }
        }
        delay(2.seconds)
        running.forEach { it.faults.canReach = { true } }
        delay(60.seconds)
        awaitRunning(longJob.id, 6)
    }

    @Test
    fun `leadership changes twice, all controllers end, and one restarts within a second`() = withCluster {
        submit(spec.copy(tasks = 20))
        awaitRunning(spec.id, 20)
        repeat(2) { failOver(restartAfter = 300.milliseconds) }
        val names = nodes.keys.toList()
        nodes.values.toList().forEach { it.stop() }
        delay(700.milliseconds)
        start(names.first())
        delay(10.seconds)
        names.drop(1).forEach { start(it) }
        awaitDone(spec.id)
    }

    @Test
    fun `an array bound to one zone loses machines while the leader changes`() = withCluster(taskTime = 15.seconds) {
        val bound = spec.copy(id = "job-3", oneZone = true, tasks = 16)
        submit(bound)
        submit(spec.copy(tasks = 10, spread = true))
        awaitRunning(bound.id, 16)
        workers.values.filter { it.runningTasks.isNotEmpty() }.take(3).forEach { it.faults.canReach = { false } }
        failOver()
        workers.values.filter { it.runningTasks.isNotEmpty() }.take(1).forEach { it.pause(20.seconds) }
        awaitDone(bound.id)
        awaitDone(spec.id)
    }

    @Test
    fun `transactions without a response are carried out after newer ones, also over a change of leader`() =
        withCluster(taskTime = 6.seconds) {
            val jobs = (1..8).map { spec.copy(id = "job-3$it", tasks = 4) }
            repeat(3) { round ->
                for (node in nodes.values) {
                    repeat(12) { i -> node.state.delayedWrites += ((i * 3 + round) % 11 + 2).seconds }
                }
                jobs.forEach { submit(it) }
                if (round > 0) failOver(restartAfter = 500.milliseconds)
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
            val leaderInZone = leader!!
            val zone = workers.values.filterIndexed { i, _ -> i % 2 == 0 }
            leaderInZone.state.hanging = true
            leaderInZone.cutFromPeers = true
            for (worker in workers.values) worker.faults.canReach = { (it == leaderInZone.name) == (worker in zone) }
            delay(40.seconds)
            leaderInZone.state.hanging = false
            leaderInZone.cutFromPeers = false
            workers.values.forEach { it.faults.canReach = { true } }
            awaitDone(spec.id, within = 300.seconds)
        }

    @Test
    fun `leaders change ten times in two minutes, also during an outage`() = withCluster(taskTime = 25.seconds) {
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
    fun `all controllers are down for longer than the lease`() = withCluster(taskTime = 25.seconds) {
        submit(spec.copy(tasks = 12))
        submit(longJob)
        awaitRunning(spec.id, 12)
        val names = nodes.keys.toList()
        nodes.values.toList().forEach { it.stop() }
        delay(25.seconds)
        assertTrue(running.isEmpty(), "the leases have expired")
        names.forEach { start(it) }
        cancel(longJob.id)
        awaitDone(spec.id)
        assertEquals("withdrawn", poll(longJob.id))
    }

    @Test
    fun `a leader ends while some machines are unreachable and others drop inbound messages`() = withCluster {
        submit(longJob.copy(tasks = 20))
        awaitRunning(longJob.id, 20)
        val (droppingInbound, unreachable) = workers.values.filter { it.runningTasks.isNotEmpty() }.take(4).chunked(2)
        droppingInbound.forEach { it.faults.dropsInbound = true }
        unreachable.forEach { it.faults.canReach = { false } }
        failOver()
        delay(50.seconds)
        awaitRunning(longJob.id, 20)
        droppingInbound.forEach { it.faults.dropsInbound = false }
        unreachable.forEach { it.faults.canReach = { true } }
        delay(20.seconds)
        cancel(longJob.id)
        delay(45.seconds)
    }

    @Test
    fun `the tasks of small jobs end at very different times over changes of leader`() = withCluster {
        val jobs = (1..4).map { spec.copy(id = "job-6$it", tasks = 3, oneZone = it % 2 == 0) }
        taskTime = { _, index -> (5 + index * 35).seconds }
        jobs.forEach { submit(it) }
        awaitRunning(jobs.last().id, 3)
        delay(7.seconds)
        // Marks of finished tasks that the leader has not written yet are lost with it.
        failOver()
        delay(20.seconds)
        failOver()
        jobs.forEach { awaitDone(it.id) }
    }

    @Test
    fun `a team at its limit has a job cancelled while a machine is unreachable and the leader is new`() =
        withCluster(taskTime = 30.seconds) {
            val gpuJob = Samples.array.copy(id = "job-5", tasks = 8)
            val nextJob = gpuJob.copy(id = "job-6")
            taskTime = { job, _ -> if (job.id == gpuJob.id) 300.seconds else 30.seconds }
            submit(gpuJob)
            awaitRunning(gpuJob.id, 8)
            submit(nextJob)
            val cutOff = workers.values.filter { it.runningTasks.isNotEmpty() }.take(1)
            cutOff.forEach { it.faults.canReach = { false } }
            failOver()
            cancel(gpuJob.id)
            delay(40.seconds)
            assertEquals(0, runningCount(gpuJob.id))
            awaitDone(nextJob.id)
        }

    /** Guards against a leader whose commands workers refuse because its predecessor raised their tokens. */
    @Test
    fun `each leader's token is above all tokens that its predecessor raised, also after a restart at once`() =
        withCluster(taskTime = 2.seconds) {
            for ((id, restartsAtOnce) in listOf("job-51" to false, "job-52" to true)) {
                val job = spec.copy(id = id)
                submit(job)
                awaitDone(job.id)
                val former = leader!!
                val formerToken = leaderToken()
                awaitCondition(20.seconds, "tokens were raised") { workers.values.any { it.token > formerToken } }
                if (restartsAtOnce) {
                    former.stop()
                    start(former.name)
                } else {
                    failOver()
                }
                awaitCondition(20.seconds, "a controller leads") { leaderToken() > formerToken }
                assertTrue(workers.values.all { it.token <= leaderToken() })
            }
        }

    private fun FakeCluster.leaderToken(): Long = store.get(Keys.LEADER)?.version ?: 0

    /** Guards against a new leader that goes on leading although only its peers reach the workers. */
    @Test
    fun `a new leader that no worker reaches gives way to a controller that workers reach`() = withCluster {
        submit(longJob)
        awaitRunning(longJob.id, longJob.tasks)
        val deafNode = followers.first()
        deafNode.cutFromWorkers = true
        val others = nodes.values.filter { it !== deafNode }
        others.forEach { it.stop() }
        awaitCondition(20.seconds, "it leads") { leader === deafNode }
        others.forEach { start(it.name) }
        awaitCondition(30.seconds, "another controller leads") { leader != null && leader !== deafNode }
        awaitRunning(longJob.id, longJob.tasks)
    }

    /** Guards against a leader that keeps its lease while none of its reads and transactions gets a response. */
    @Test
    fun `another controller leads while the leader's reads and transactions get no response`() = withCluster {
        submit(spec)
        awaitRunning(spec.id, spec.tasks)
        val former = leader!!
        former.state.dataHangs = true
        submit(spec.copy(id = "job-5"), via = followers.first())
        awaitCondition(MAX_UNHEALTHY_DELAY, "users are sent to other controllers") { !former.controller.healthy() }
        awaitCondition(MAX_WAIT_BESIDE_ROOM, "the accepted job runs") { runningCount("job-5") > 0 }
        former.state.dataHangs = false
        awaitCondition(MAX_UNHEALTHY_DELAY, "users are sent to it again") { former.controller.healthy() }
        awaitDone("job-5")
    }

    /** Guards against leaders that step down in turn: the workers would lose their leases. */
    @Test
    fun `the leader goes on while nobody's reads and transactions get a response`() = withCluster {
        submit(longJob)
        awaitRunning(longJob.id, longJob.tasks)
        val former = leader!!
        nodes.values.forEach { it.state.dataHangs = true }
        delay(60.seconds)
        assertEquals(former, leader)
        assertTrue(nodes.values.all { it.controller.healthy() })
        assertEquals(longJob.tasks, runningCount(longJob.id))
        nodes.values.forEach { it.state.dataHangs = false }
        submit(spec)
        awaitDone(spec.id)
    }

    private companion object {
        /** Three probes of the state service, and as long for the peers' answers. */
        val MAX_UNHEALTHY_DELAY = 6.seconds

        /** The longest that a job may wait beside a machine that fits, once troubles are over. */
        val MAX_WAIT_BESIDE_ROOM = 90.seconds
    }
}
