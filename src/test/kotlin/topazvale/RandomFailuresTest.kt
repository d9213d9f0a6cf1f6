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

/** Whatever fails together: any three kinds of trouble, drawn at random. */
class RandomFailuresTest : FailureScenario() {
    private class Trouble(val name: String, val begin: suspend FakeCluster.(Random) -> Unit)

    private val troubles = listOf(
        Trouble("leader ends") { r ->
            val former = leader?.also { it.stop() }
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
            for (node in nodes.values) repeat(10) { node.state.delayedWrites += r.nextInt(2, 12).seconds }
        },
        Trouble("slow state") { r -> nodes.values.forEach { it.state.latency = r.nextInt(100, 700).milliseconds } },
        Trouble("deaf") { r -> some(r).forEach { it.faults.dropsInbound = true } },
        Trouble("mute") { r -> some(r).forEach { it.faults.dropsReports = true } },
        Trouble("away") { r -> some(r).forEach { it.faults.canReach = { false } } },
        Trouble("hung") { r -> some(r).forEach { it.pause(r.nextInt(3, 30).seconds) } },
        Trouble("gone") { r -> some(r).take(2).forEach { workers.remove(it.host)?.terminate() } },
        Trouble("copies") { duplicateReportDelay = it.nextInt(2, 25).seconds },
        Trouble("held reports") { r -> some(r).forEach { it.faults.nextReportDelay = r.nextInt(3, 20).seconds } },
        Trouble("late commands") { r ->
            some(r).forEach { it.faults.unansweredCommandDelay = r.nextInt(3, 40).seconds }
        },
        Trouble("leader with its workers alone") {
            leader?.let {
                it.state.hanging = true
                it.cutFromPeers = true
            }
        },
        Trouble("all controllers end") { r ->
            val names = nodes.keys.toList()
            nodes.values.toList().forEach { it.stop() }
            delay(r.nextInt(1, 20).seconds)
            names.forEach { if (it !in nodes) start(it) }
        },
        Trouble("cancellations") { r -> repeat(3) { cancel("job-${r.nextInt(1, 9)}") } },
    )

    private fun FakeCluster.some(random: Random) = workers.values.filter { random.nextInt(3) == 0 }

    private fun FakeCluster.calm() {
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
                    awaitCondition(left, "$name: ${job.id} is answered for") { poll(job.id) != null }
                }
                for (job in all - all.last()) {
                    val now = "${poll(job.id)} with ${runningCount(job.id)} running"
                    awaitCondition(150.seconds, "$name: ${job.id} is over, not $now") {
                        poll(job.id).let { it == "done" || it == "withdrawn" }
                    }
                }
                awaitRunning(all.last().id, 3)
                assertEquals(emptyList<String>(), violations, name)
            }
        }
    }

    /** Each kind of trouble by itself, with a service that is cancelled half a second into it. */
    @Test
    fun `a service cancelled during any trouble is gone in time and stays cancelled`() {
        for ((number, trouble) in troubles.withIndex()) {
            val random = Random(number)
            withCluster {
                val service = Samples.service.copy(id = "job-10")
                (1..8).forEach { submit(spec.copy(id = "job-$it", tasks = 2)) }
                submit(service)
                awaitRunning(service.id, 3)
                coroutineScope {
                    val begun = launch { trouble.begin(this@withCluster, random) }
                    delay(500.milliseconds)
                    while (nodes.isEmpty()) delay(100.milliseconds)
                    val cancelling = launch { cancel(service.id) }
                    delay(80.seconds)
                    begun.cancelAndJoin()
                    calm()
                    cancelling.join()
                }
                awaitCondition(60.seconds, "${trouble.name}: no replica is left") { runningCount(service.id) == 0 }
                delay(50.seconds)
                assertEquals(0, runningCount(service.id), trouble.name)
                awaitCondition(10.seconds, "${trouble.name}: it is cancelled") { poll(service.id) == "withdrawn" }
                assertEquals(emptyList<String>(), violations, trouble.name)
            }
        }
    }
}
