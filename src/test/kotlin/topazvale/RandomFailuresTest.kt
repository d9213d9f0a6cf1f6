package topazvale

import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.fake.FakeCluster
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against combinations of failures: three kinds of fault drawn at random, and each kind with a cancellation. */
class RandomFailuresTest : FailureScenario() {
    private class Fault(val name: String, val inject: suspend FakeCluster.(Random) -> Unit)

    private val faultKinds = listOf(
        Fault("leader ends") { r ->
            val former = leader?.also { it.stop() }
            delay(r.nextInt(200, 8000).milliseconds)
            if (former != null && former.name !in nodes) start(former.name)
        },
        Fault("leader refused") { r ->
            leader?.state?.let { state ->
                state.refusing = true
                delay(r.nextInt(5, 30).seconds)
                state.refusing = false
            }
        },
        Fault("outage") {
            store.outage = true
            delay(it.nextInt(5, 60).seconds)
            store.outage = false
        },
        Fault("delayed writes") { r ->
            for (node in nodes.values) repeat(10) { node.state.delayedWrites += r.nextInt(2, 12).seconds }
        },
        Fault("slow state service") { r ->
            nodes.values.forEach { it.state.latency = r.nextInt(100, 700).milliseconds }
        },
        Fault("workers drop inbound messages") { r -> randomWorkers(r).forEach { it.faults.dropsInbound = true } },
        Fault("workers drop reports") { r -> randomWorkers(r).forEach { it.faults.dropsReports = true } },
        Fault("workers cut off") { r -> randomWorkers(r).forEach { it.faults.canReach = { false } } },
        Fault("workers pause") { r -> randomWorkers(r).forEach { it.pause(r.nextInt(3, 30).seconds) } },
        Fault("machines lost") { r -> randomWorkers(r).take(2).forEach { workers.remove(it.host)?.terminate() } },
        Fault("delayed copies of reports") { duplicateReportDelay = it.nextInt(2, 25).seconds },
        Fault("delayed reports") { r ->
            randomWorkers(r).forEach { it.faults.nextReportDelay = r.nextInt(3, 20).seconds }
        },
        Fault("delayed commands") { r ->
            randomWorkers(r).forEach { it.faults.unansweredCommandDelay = r.nextInt(3, 40).seconds }
        },
        Fault("leader reaches only workers") {
            leader?.let {
                it.state.hanging = true
                it.cutFromPeers = true
            }
        },
        Fault("all controllers end") { r ->
            val names = nodes.keys.toList()
            nodes.values.toList().forEach { it.stop() }
            delay(r.nextInt(1, 20).seconds)
            names.forEach { if (it !in nodes) start(it) }
        },
        Fault("cancellations") { r -> repeat(3) { cancel("job-${r.nextInt(1, 9)}") } },
    )

    private fun FakeCluster.randomWorkers(random: Random) = workers.values.filter { random.nextInt(3) == 0 }

    private fun FakeCluster.removeFaults() {
        store.outage = false
        duplicateReportDelay = null
        for (name in listOf("node-0", "node-1", "node-2")) if (name !in nodes) start(name)
        for (node in nodes.values) {
            node.state.refusing = false
            node.state.hanging = false
            node.state.delayedWrites.clear()
            node.state.latency = 1.milliseconds
            node.cutFromPeers = false
        }
        for (worker in workers.values) {
            worker.faults.dropsInbound = false
            worker.faults.dropsReports = false
            worker.faults.canReach = { true }
            worker.faults.unansweredCommandDelay = null
        }
    }

    /** Under three faults no rule is violated; after them every job has a status again and finishes. */
    @Test
    fun `any three faults at once violate no rule and keep no job from finishing`() {
        for (seed in 1..24) {
            val random = Random(seed)
            val drawn = List(3) { faultKinds[random.nextInt(faultKinds.size)] }
            val caseName = "seed $seed: ${drawn.map { it.name }}"
            withCluster {
                taskTime = { job, index -> if (job.isService) 0.seconds else (6 + (index * 7 + seed) % 20).seconds }
                val allJobs = (1..5).map { spec.copy(id = "job-$it", tasks = 4 * it) } + listOf(
                    spec.copy(id = "job-6", oneZone = true, tasks = 8),
                    spec.copy(id = "job-7", spread = true, tasks = 7),
                    Samples.array.copy(id = "job-8", tasks = 14),
                    Samples.service.copy(id = "job-10"),
                )
                coroutineScope {
                    allJobs.forEach { submit(it) }
                    val injections = drawn.map { fault ->
                        launch {
                            delay(random.nextInt(1, 30_000).milliseconds)
                            fault.inject(this@withCluster, random)
                        }
                    }
                    delay(80.seconds)
                    injections.forEach { it.cancelAndJoin() }
                }
                removeFaults()
                val removedAt = clocks.mark()
                for (job in allJobs - allJobs.last()) {
                    val remaining = 75.seconds - removedAt.elapsedNow().coerceAtMost(70.seconds)
                    awaitCondition(remaining, "$caseName: ${job.id} has a status") { poll(job.id) != null }
                }
                for (job in allJobs - allJobs.last()) {
                    val current = "${poll(job.id)} with ${runningCount(job.id)} running"
                    awaitCondition(150.seconds, "$caseName: ${job.id} has finished, not $current") {
                        poll(job.id).let { it == "done" || it == "withdrawn" }
                    }
                }
                awaitRunning(allJobs.last().id, 3)
                assertEquals(emptyList<String>(), violations, caseName)
            }
        }
    }

    /** Each kind of fault by itself; a service is cancelled half a second after the fault begins. */
    @Test
    fun `a service cancelled during any fault stops in time and stays cancelled`() {
        for ((number, fault) in faultKinds.withIndex()) {
            val random = Random(number)
            withCluster {
                val service = Samples.service.copy(id = "job-10")
                (1..8).forEach { submit(spec.copy(id = "job-$it", tasks = 2)) }
                submit(service)
                awaitRunning(service.id, 3)
                coroutineScope {
                    val injection = launch { fault.inject(this@withCluster, random) }
                    delay(500.milliseconds)
                    while (nodes.isEmpty()) delay(100.milliseconds)
                    val cancelling = launch { cancel(service.id) }
                    delay(80.seconds)
                    injection.cancelAndJoin()
                    removeFaults()
                    cancelling.join()
                }
                awaitCondition(60.seconds, "${fault.name}: no replica runs") { runningCount(service.id) == 0 }
                delay(50.seconds)
                assertEquals(0, runningCount(service.id), fault.name)
                awaitCondition(10.seconds, "${fault.name}: the service is cancelled") {
                    poll(service.id) == "withdrawn"
                }
                assertEquals(emptyList<String>(), violations, fault.name)
            }
        }
    }
}
