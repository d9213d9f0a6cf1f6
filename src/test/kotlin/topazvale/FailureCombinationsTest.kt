package topazvale

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.fake.FakeCluster
import topazvale.model.JobSpec
import topazvale.model.Rank
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Two troubles at once, in virtual time: whole controllers against stand-ins. What counts is what workers ran and what
 * users were told; the stand-ins note each broken rule.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class FailureCombinationsTest {
    private val spec = Samples.array.copy(tasks = 6, estimate = 20.seconds, need = Samples.array.need.copy(gpus = 0.0))
    private val long = spec.copy(id = "job-9", estimate = 300.seconds)

    /** Runs [body] on a cluster that has a leader; fails for each rule that is broken in it. */
    private fun withCluster(taskTime: Duration = 20.seconds, body: suspend FakeCluster.() -> Unit) =
        runTest(timeout = 2.minutes) {
            val cluster = FakeCluster(this)
            cluster.taskTime = { job, _ -> if (job.id == long.id) 300.seconds else taskTime }
            cluster.until(30.seconds, "somebody leads") { cluster.leader != null }
            cluster.body()
            assertEquals(emptyList<String>(), cluster.broken)
        }

    private fun FakeCluster.job(spec: JobSpec) = also { jobs[spec.id] = spec }

    private class Trouble(val name: String, val begin: suspend FakeCluster.(Random) -> Unit)

    private val troubles = listOf(
        Trouble("leader ends") { r ->
            val former = leader?.also { it.end() }
            delay(r.nextInt(200, 8000).milliseconds)
            if (former != null && former.name !in nodes) start(former.name)
        },
        Trouble("leader refused") { r ->
            leader?.state?.let { state ->
                state.refusing = true
                delay(r.nextInt(5, 30).seconds)
                state.refusing = false
            }
        },
        Trouble("outage") {
            store.outage = true
            delay(it.nextInt(5, 60).seconds)
            store.outage = false
        },
        Trouble("late writes") { r ->
            for (node in nodes.values) repeat(10) { node.state.lateWrites += r.nextInt(2, 12).seconds }
        },
        Trouble("slow state") { r -> nodes.values.forEach { it.state.latency = r.nextInt(100, 700).milliseconds } },
        Trouble("deaf") { r -> some(r).forEach { it.deaf = true } },
        Trouble("mute") { r -> some(r).forEach { it.mute = true } },
        Trouble("away") { r -> some(r).forEach { it.reaches = { false } } },
        Trouble("hung") { r -> some(r).forEach { it.hang(r.nextInt(3, 30).seconds) } },
        Trouble("gone") { r -> some(r).take(2).forEach { workers.remove(it.host)?.gone() } },
        Trouble("copies") { copies = it.nextInt(2, 25).seconds },
        Trouble("held reports") { r -> some(r).forEach { it.holdNext = r.nextInt(3, 20).seconds } },
        Trouble("late commands") { r -> some(r).forEach { it.lateCommands = r.nextInt(3, 40).seconds } },
        Trouble("leader with its workers alone") {
            leader?.let {
                it.state.hanging = true
                it.cutFromPeers = true
            }
        },
        Trouble("all controllers end") { r ->
            val names = nodes.keys.toList()
            nodes.values.toList().forEach { it.end() }
            delay(r.nextInt(1, 20).seconds)
            names.forEach { if (it !in nodes) start(it) }
        },
        Trouble("cancellations") { r -> repeat(3) { cancel("job-${r.nextInt(1, 9)}") } },
    )

    private fun FakeCluster.some(random: Random) = workers.values.filter { random.nextInt(3) == 0 }

    private fun FakeCluster.calm() {
        store.outage = false
        copies = null
        for (name in listOf("node-0", "node-1", "node-2")) if (name !in nodes) start(name)
        for (node in nodes.values) {
            node.state.refusing = false
            node.state.hanging = false
            node.state.lateWrites.clear()
            node.state.latency = 1.milliseconds
            node.cutFromPeers = false
        }
        for (worker in workers.values) {
            worker.deaf = false
            worker.mute = false
            worker.reaches = { true }
            worker.lateCommands = null
        }
    }

    /** Whatever meets: no rule breaks, every job is answered for, and none is left waiting once all is over. */
    @Test
    fun `any three troubles at once`() {
        for (seed in 1..24) {
            val random = Random(seed)
            val met = List(3) { troubles[random.nextInt(troubles.size)] }
            val name = "seed $seed: ${met.map { it.name }}"
            withCluster {
                taskTime = { job, index -> if (job.isService) 0.seconds else (6 + (index * 7 + seed) % 20).seconds }
                val all = (1..5).map { spec.copy(id = "job-$it", tasks = 4 * it) } + listOf(
                    spec.copy(id = "job-6", oneZone = true, tasks = 8),
                    spec.copy(id = "job-7", spread = true, tasks = 7),
                    Samples.array.copy(id = "job-8", tasks = 14),
                    Samples.service.copy(id = "job-10"),
                )
                coroutineScope {
                    all.forEach { submit(it) }
                    val begun = met.map { trouble ->
                        launch {
                            delay(random.nextInt(1, 30_000).milliseconds)
                            trouble.begin(this@withCluster, random)
                        }
                    }
                    delay(80.seconds)
                    begun.forEach { it.cancelAndJoin() }
                }
                calm()
                val calmed = clocks.mark()
                for (job in all - all.last()) {
                    val left = 75.seconds - calmed.elapsedNow().coerceAtMost(70.seconds)
                    until(left, "$name: ${job.id} is answered for") { poll(job.id) != null }
                }
                for (job in all - all.last()) {
                    val now = "${poll(job.id)} with ${runningOf(job.id)} running"
                    until(150.seconds, "$name: ${job.id} is over, not $now") {
                        poll(job.id).let { it == "done" || it == "withdrawn" }
                    }
                }
                untilRunning(all.last().id, 3)
                assertEquals(emptyList<String>(), broken, name)
            }
        }
    }

    /** Ends what leads, so that another one takes over, and brings the former one back. */
    private suspend fun FakeCluster.handOver(back: Duration = 3.seconds) {
        val former = leader ?: return
        former.end()
        until(20.seconds, "another one leads") { leader != null && leader?.name != former.name }
        delay(back)
        start(former.name)
    }

    /** The state service refuses the leader alone; jobs are cancelled through another node; then it is out for all. */
    private fun gap(cancelAfter: Duration) = withCluster {
        val ids = (1..6).map { long.copy(id = "job-9$it", estimate = 300.seconds) }
        taskTime = { _, _ -> 300.seconds }
        ids.forEach { submit(it) }
        ids.forEach { untilRunning(it.id, 6) }
        val former = leader!!
        former.state.refusing = true
        delay(cancelAfter)
        ids.take(4).forEach { cancel(it.id, followers.first()) }
        delay(1.seconds)
        store.outage = true
        delay(cancelAfter)
        former.state.refusing = false
        until(5.seconds, "what was cancelled is gone at once") { ids.take(4).all { runningOf(it.id) == 0 } }
        delay(60.seconds)
        // What nobody cancelled need not fall with it.
        ids.drop(4).forEach { assertEquals(6, runningOf(it.id), it.id) }
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
        untilRunning(long.id, 6)
        val former = leader!!
        former.state.refusing = true
        val other = followers.first()
        assertEquals("withdrawn", cancel(long.id, other))
        store.outage = true
        other.end()
        delay(1.seconds)
        start(other.name)
        delay(70.seconds)
        assertEquals(0, runningOf(long.id))
        former.state.refusing = false
        store.outage = false
        delay(20.seconds)
        assertEquals("withdrawn", poll(long.id))
    }

    @Test
    fun `a cancellation of unknown outcome stops the tasks, and the job runs on if it was not carried out`() =
        withCluster {
            submit(long)
            untilRunning(long.id, 6)
            val other = followers.first()
            // It reaches the state service long after all this.
            other.state.lateWrites += 1000.seconds
            assertEquals(null, tryCancel(long.id, other))
            until(6.seconds, "its tasks are stopped") { runningOf(long.id) == 0 }
            // The node is gone for good, and its word with it.
            other.end()
            delay(90.seconds)
            assertEquals("running", poll(long.id))
            untilRunning(long.id, 6)
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
        untilRunning(long.id, 6)
        val former = leader!!
        former.state.watchesHang = true
        former.cutFromPeers = true
        cancel(long.id, followers.first())
        delay(50.seconds)
        assertEquals(0, runningOf(long.id))
        submit(spec)
        untilDone(spec.id)
    }

    @Test
    fun `a report is held back until a new leader has acted`() = withCluster {
        submit(spec.copy(tasks = 12))
        untilRunning(spec.id, 12)
        workers.values.forEach { it.holdNext = 12.seconds }
        delay(3.seconds)
        handOver()
        delay(40.seconds)
        untilDone(spec.id)
    }

    @Test
    fun `a report from before a start is held back until a new leader has read of the start`() = withCluster {
        submit(spec.copy(tasks = 12))
        untilDone(spec.id)
        workers.values.forEach { it.holdNext = 9.seconds }
        until(10.seconds, "all have sent it") { workers.values.all { it.holdNext == null } }
        submit(long)
        untilRunning(long.id, 6)
        val running = workers.values.filter { it.on.isNotEmpty() }
        running.forEach { it.reaches = { false } }
        handOver()
        until(10.seconds, "the reports have come") { running.all { it.heldArrived } }
        delay(2.seconds)
        running.forEach { it.reaches = { true } }
        delay(60.seconds)
        untilRunning(long.id, 6)
    }

    @Test
    fun `controllers hand over and back, all end, and one returns within a second`() = withCluster {
        submit(spec.copy(tasks = 20))
        untilRunning(spec.id, 20)
        repeat(2) { handOver(back = 300.milliseconds) }
        val names = nodes.keys.toList()
        nodes.values.toList().forEach { it.end() }
        delay(700.milliseconds)
        start(names.first())
        delay(10.seconds)
        names.drop(1).forEach { start(it) }
        untilDone(spec.id)
    }

    @Test
    fun `arrays bound to one zone lose machines, while the leader changes too`() = withCluster(taskTime = 15.seconds) {
        val bound = spec.copy(id = "job-3", oneZone = true, tasks = 16)
        submit(bound)
        submit(spec.copy(tasks = 10, spread = true))
        untilRunning(bound.id, 16)
        workers.values.filter { it.on.isNotEmpty() }.take(3).forEach { it.reaches = { false } }
        handOver()
        workers.values.filter { it.on.isNotEmpty() }.take(1).forEach { it.hang(20.seconds) }
        untilDone(bound.id)
        untilDone(spec.id)
    }

    @Test
    fun `transactions without an answer are carried out after newer ones, over a change of leader too`() =
        withCluster(taskTime = 6.seconds) {
            val jobs = (1..8).map { spec.copy(id = "job-3$it", tasks = 4) }
            repeat(3) { round ->
                for (node in nodes.values) {
                    repeat(12) { i -> node.state.lateWrites += ((i * 3 + round) % 11 + 2).seconds }
                }
                jobs.forEach { submit(it) }
                if (round > 0) handOver(back = 500.milliseconds)
                delay(10.seconds)
            }
            jobs.take(2).forEach { cancel(it.id) }
            nodes.values.forEach { it.state.lateWrites.clear() }
            jobs.drop(2).forEach { untilDone(it.id) }
            jobs.take(2).forEach { assertTrue(poll(it.id) in setOf("done", "withdrawn")) }
        }

    @Test
    fun `a zone with workers and the leader is cut off for longer than the lease`() =
        withCluster(taskTime = 60.seconds) {
            submit(spec.copy(tasks = 30))
            untilRunning(spec.id, 30)
            val inside = leader!!
            val zone = workers.values.filterIndexed { i, _ -> i % 2 == 0 }
            inside.state.hanging = true
            inside.cutFromPeers = true
            for (worker in workers.values) worker.reaches = { (it == inside.name) == (worker in zone) }
            delay(40.seconds)
            inside.state.hanging = false
            inside.cutFromPeers = false
            workers.values.forEach { it.reaches = { true } }
            untilDone(spec.id, within = 300.seconds)
        }

    @Test
    fun `the state service answers slowly while users cancel and ask`() = withCluster(taskTime = 10.seconds) {
        val jobs = (1..6).map { spec.copy(id = "job-4$it") }
        nodes.values.forEach { it.state.latency = 600.milliseconds }
        jobs.forEach { submit(it) }
        delay(5.seconds)
        jobs.take(3).forEach { cancel(it.id) }
        repeat(10) { jobs.forEach { poll(it.id) } }
        jobs.drop(3).forEach { untilDone(it.id) }
    }

    @Test
    fun `workers that can open no connection are reached by direct commands, over a change of leader`() =
        withCluster(taskTime = 40.seconds) {
            submit(spec.copy(tasks = 20))
            untilRunning(spec.id, 20)
            val muted = workers.values.take(4)
            muted.forEach { it.mute = true }
            handOver()
            delay(40.seconds)
            muted.forEach { it.mute = false }
            untilDone(spec.id)
        }

    @Test
    fun `a team at its limit, machines that cannot be asked, a new leader and a cancellation`() =
        withCluster(taskTime = 30.seconds) {
            val gpu = Samples.array.copy(id = "job-5", tasks = 8)
            val next = gpu.copy(id = "job-6")
            taskTime = { job, _ -> if (job.id == gpu.id) 300.seconds else 30.seconds }
            submit(gpu)
            untilRunning(gpu.id, 8)
            submit(next)
            val asked = workers.values.filter { it.on.isNotEmpty() }.take(1)
            asked.forEach { it.reaches = { false } }
            handOver()
            cancel(gpu.id)
            delay(40.seconds)
            assertEquals(0, runningOf(gpu.id))
            untilDone(next.id)
        }

    @Test
    fun `leaders change ten times in two minutes, also inside an outage`() = withCluster(taskTime = 25.seconds) {
        submit(spec.copy(tasks = 24))
        repeat(10) { round ->
            val former = leader
            if (round == 4) store.outage = true
            if (round % 3 == 0) former?.state?.refusing = true else former?.end()
            if (round == 5) store.outage = false
            delay(6.seconds)
            former?.state?.refusing = false
            if (former != null && former.name !in nodes) start(former.name)
            delay(6.seconds)
        }
        untilDone(spec.id, within = 300.seconds)
    }

    @Test
    fun `old reports arrive after newer ones, from earlier sessions and attempts too`() =
        withCluster(taskTime = 8.seconds) {
            for (wait in listOf(3.seconds, 20.seconds)) {
                copies = wait
                val job = spec.copy(id = "job-7${wait.inWholeSeconds}", tasks = 30)
                submit(job)
                untilRunning(job.id, 5)
                workers.values.first().reaches = { false }
                delay(18.seconds)
                workers.values.first().reaches = { true }
                handOver()
                untilDone(job.id)
            }
        }

    @Test
    fun `a cancellation, a question and a submission meet the end of a job's last task`() =
        withCluster(taskTime = 5.seconds) {
            // Each time a little later than before, over the whole time from the last task's end to the end of the job.
            for (i in 0..24) {
                val job = spec.copy(id = "job-8$i", tasks = 1)
                submit(job)
                untilRunning(job.id, 1)
                delay(4600.milliseconds + (i * 60).milliseconds)
                val (first, second) = followers
                if (i % 4 == 3) leader!!.state.lateWrites += 3.seconds
                if (i % 5 == 4) first.state.lateWrites += 3.seconds
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
    fun `more work than room, urgent and not, over slow links`() = withCluster(taskTime = 15.seconds) {
        capacity = 8
        nodes.values.forEach { it.state.latency = 250.milliseconds }
        val jobs = (1..10).map { i ->
            spec.copy(id = "job-1$i", tasks = 12, rank = if (i % 2 == 0) Rank.URGENT else Rank.NORMAL)
        }
        jobs.forEach { submit(it) }
        delay(20.seconds)
        cancel(jobs[3].id)
        handOver()
        (jobs - jobs[3]).forEach { untilDone(it.id, within = 400.seconds) }
    }

    @Test
    fun `all controllers are away for longer than the lease`() = withCluster(taskTime = 25.seconds) {
        submit(spec.copy(tasks = 12))
        submit(long)
        untilRunning(spec.id, 12)
        val names = nodes.keys.toList()
        nodes.values.toList().forEach { it.end() }
        delay(25.seconds)
        assertTrue(running.isEmpty(), "the leases have run out")
        names.forEach { start(it) }
        cancel(long.id)
        untilDone(spec.id)
        assertEquals("withdrawn", poll(long.id))
    }

    @Test
    fun `a command is held up for seconds, and the machine then goes on`() = withCluster(taskTime = 12.seconds) {
        val jobs = (1..5).map { spec.copy(id = "job-2$it", tasks = 10) }
        submit(jobs[0])
        untilRunning(jobs[0].id, 4)
        workers.values.forEachIndexed { i, w -> if (i % 2 == 0) w.lateCommands = (3 + i % 9).seconds }
        jobs.drop(1).forEach { submit(it) }
        delay(8.seconds)
        workers.values.forEachIndexed { i, w -> if (i % 3 == 0) w.hang((2 + i % 11).seconds) }
        cancel(jobs[1].id)
        handOver()
        delay(20.seconds)
        workers.values.forEach { it.lateCommands = null }
        (jobs - jobs[1]).forEach { untilDone(it.id) }
    }

    @Test
    fun `a command is held up for longer than cancel_s, and its job cancelled meanwhile`() = withCluster {
        submit(spec)
        untilDone(spec.id)
        workers.values.forEach { it.lateCommands = 50.seconds }
        submit(long)
        delay(700.milliseconds)
        cancel(long.id)
        delay(70.seconds)
        assertEquals("withdrawn", poll(long.id))
    }

    @Test
    fun `tasks are cancelled whose machines hang and go on later`() = withCluster {
        submit(long)
        untilRunning(long.id, 6)
        workers.values.filter { it.on.isNotEmpty() }.forEachIndexed { i, w -> w.hang((11 + i).seconds) }
        cancel(long.id)
        handOver()
        delay(50.seconds)
        assertEquals(0, runningOf(long.id))
    }

    @Test
    fun `a leader ends while machines cannot be reached or do not hear the new one`() = withCluster {
        submit(long.copy(tasks = 20))
        untilRunning(long.id, 20)
        val (deaf, away) = workers.values.filter { it.on.isNotEmpty() }.take(4).chunked(2)
        deaf.forEach { it.deaf = true }
        away.forEach { it.reaches = { false } }
        handOver()
        delay(50.seconds)
        untilRunning(long.id, 20)
        deaf.forEach { it.deaf = false }
        away.forEach { it.reaches = { true } }
        delay(20.seconds)
        cancel(long.id)
        delay(45.seconds)
    }

    @Test
    fun `a leader keeps only its workers and users, and jobs are cancelled through the new one`() = withCluster {
        submit(long.copy(tasks = 12))
        untilRunning(long.id, 12)
        val former = leader!!
        former.state.hanging = true
        former.cutFromPeers = true
        until(20.seconds, "another one leads") { leader !== former }
        assertEquals("withdrawn", cancel(long.id, leader))
        repeat(10) {
            poll(long.id, former)
            delay(4.seconds)
        }
        submit(spec, leader)
        former.state.hanging = false
        former.cutFromPeers = false
        untilDone(spec.id)
    }

    @Test
    fun `replicas run until cancelled, are back when lost, and lie apart`() = withCluster {
        val service = Samples.service
        submit(service)
        untilRunning(service.id, 3)
        delay(90.seconds)
        assertEquals("running", poll(service.id))
        val hosts = workers.values.filter { w -> w.on.any { it.startsWith(service.id) } }
        assertEquals(2, hosts.map { it.market.zone }.distinct().size)
        hosts.forEach { it.end("${service.id}/0", "error") }
        hosts.forEach { it.end("${service.id}/1", "done") }
        until(20.seconds, "back") { runningOf(service.id) == 3 }
        hosts[1].gone()
        workers.remove(hosts[1].host)
        until(20.seconds, "one machine is gone, and its lease is over") { runningOf(service.id) == 3 }
        handOver()
        delay(30.seconds)
        assertEquals(3, runningOf(service.id))
        assertEquals("withdrawn", cancel(service.id))
        until(10.seconds, "gone") { runningOf(service.id) == 0 }
        delay(50.seconds)
    }

    @Test
    fun `a service comes while all is full of urgent work, and a lost replica finds room that is kept`() =
        withCluster(taskTime = 120.seconds) {
            val service = Samples.service
            submit(service)
            untilRunning(service.id, 3)
            submit(spec.copy(tasks = 120, rank = Rank.URGENT))
            delay(40.seconds)
            val second = service.copy(id = "job-77", tasks = 4)
            submit(second)
            until(4.seconds, "room was kept") { runningOf(second.id) == 4 }
            val host = workers.values.first { w -> w.on.any { it.startsWith(service.id) } }
            host.end(host.on.first { it.startsWith(service.id) }, "error")
            until(4.seconds, "back") { runningOf(service.id) == 3 }
        }

    @Test
    fun `a replica that fails again and again rests, and its fellows go on`() = withCluster {
        val service = Samples.service
        submit(service)
        untilRunning(service.id, 3)
        repeat(200) {
            workers.values.forEach { w -> w.end("${service.id}/1", "error") }
            delay(200.milliseconds)
        }
        assertTrue(starts < 20, "$starts starts")
        assertTrue("${service.id}/0" in running && "${service.id}/2" in running)
        untilRunning(service.id, 3)
    }

    @Test
    fun `a service is cancelled while its machines hang, the leader changes and reports come late`() = withCluster {
        val service = Samples.service
        copies = 9.seconds
        submit(service)
        untilRunning(service.id, 3)
        workers.values.filter { it.on.isNotEmpty() }.forEachIndexed { i, w -> w.hang((8 + 3 * i).seconds) }
        val former = leader!!
        former.state.refusing = true
        cancel(service.id, followers.first())
        delay(30.seconds)
        former.state.refusing = false
        delay(30.seconds)
        assertEquals(0, runningOf(service.id))
        assertEquals("withdrawn", poll(service.id))
    }

    @Test
    fun `the state service lowers its limits in the midst of a term and as the leader changes`() =
        withCluster(taskTime = 15.seconds) {
            submit(Samples.service)
            submit(spec.copy(tasks = 200))
            delay(10.seconds)
            store.mostBytes = 2048
            store.mostOps = 8
            submit(spec.copy(id = "job-55", tasks = 200))
            handOver()
            untilDone(spec.id, within = 300.seconds)
            untilDone("job-55", within = 300.seconds)
            assertEquals(3, runningOf(Samples.service.id))
        }

    @Test
    fun `jobs of a few tasks end far apart over changes of leader`() = withCluster {
        val jobs = (1..4).map { spec.copy(id = "job-6$it", tasks = 3, oneZone = it % 2 == 0) }
        taskTime = { _, index -> (5 + index * 35).seconds }
        jobs.forEach { submit(it) }
        untilRunning(jobs.last().id, 3)
        delay(7.seconds)
        // The marks of what is done get lost with the leader.
        handOver()
        delay(20.seconds)
        handOver()
        jobs.forEach { untilDone(it.id) }
    }
}
