package topazvale.soak

import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import topazvale.cli.smallVertx
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** How one run ended. */
class SoakResult(
    val seed: Long,
    val schedule: List<PlannedTrouble>,
    val failures: List<String>,
    val starts: Int,
    val accepted: Int,
    val log: Path,
) {
    val passed get() = failures.isEmpty()
}

/** One run: troubles drawn from the seed, then calm; judged from outside by what workers and users saw. */
class SoakRun(private val seed: Long, private val options: SoakOptions, folder: Path) {
    private val folder = Files.createDirectories(folder.resolve("seed-$seed"))
    private val random = Random(seed)
    private val log = EventLog()

    /** Plays the run to its end. */
    suspend fun play(): SoakResult {
        val vertx = smallVertx()
        val dispatcher = vertx.orCreateContext.dispatcher()
        val scope = CoroutineScope(dispatcher + SupervisorJob())
        val schedule = PlannedTrouble.draw(random, options.troubles, options.kinds)
        val cluster = SoakCluster(vertx, scope, options, folder, Random(random.nextInt()), log)
        try {
            return withContext(dispatcher) { play(cluster, scope, schedule) }
        } finally {
            cluster.end()
            scope.cancel()
            vertx.close()
        }
    }

    private suspend fun play(cluster: SoakCluster, scope: CoroutineScope, schedule: List<PlannedTrouble>): SoakResult {
        val failures = ArrayList<String>()
        cluster.start()
        if (!waited(START_LIMIT) { cluster.leader != null }) failures += "nobody leads after $START_LIMIT"
        val watching = scope.launch { watchCancelled(cluster) }
        val workload = Workload(cluster, scope, Random(random.nextInt()), options.workers)
        workload.start(WARM_UP + options.troubles)
        delay(WARM_UP)
        playTroubles(cluster, workload, schedule)
        log.add("soak", "calm")
        failures += settle(cluster, workload)
        watching.cancelAndJoin()
        failures += cluster.observer.violations.map { it.toString() }
        failures += log.holding("invariant_violated")
        failures += cluster.ownExits.filterNot { MEMORY_EXIT in it }.map { "ended_by_itself: $it" }
        return result(cluster, workload, schedule, failures)
    }

    private fun result(
        cluster: SoakCluster,
        workload: Workload,
        schedule: List<PlannedTrouble>,
        failures: List<String>,
    ): SoakResult {
        val lines = failures.map { "FAILED $it" } + schedule.map { "SCHEDULE $it" } + log.lines()
        val file = Files.write(folder.resolve("merged.log"), lines)
        return SoakResult(seed, schedule, failures, cluster.observer.starts, workload.jobs.size, file)
    }

    private suspend fun playTroubles(cluster: SoakCluster, workload: Workload, schedule: List<PlannedTrouble>) =
        coroutineScope {
            val playing = schedule.map { planned ->
                launch {
                    delay(planned.at)
                    log.add("trouble", "${planned.trouble} begins")
                    planned.trouble.play(TroubleContext(cluster, workload, Random(planned.seed)))
                    log.add("trouble", "${planned.trouble} is over")
                }
            }
            delay(options.troubles)
            playing.forEach { it.cancelAndJoin() }
        }

    /** Once the troubles are over each job is answered for, and those that nobody cancelled are done. */
    private suspend fun settle(cluster: SoakCluster, workload: Workload): List<String> {
        var open = workload.open()
        val done = waited(SETTLE_LIMIT) {
            delay(POLL_EVERY)
            // Also those whose submission was accepted only now: no service ends by itself.
            workload.cancelServices()
            open = workload.open()
            open.isEmpty()
        }
        if (done) return emptyList()
        cluster.observer.refresh()
        // A job may wait for as long as its team is at its limit.
        return open.filter { cluster.users.poll(it.id) == null || cluster.observer.isUnderLimit(it) }.map {
            "left: ${it.id} (${it.shape}) is ${cluster.users.poll(it.id)} $SETTLE_LIMIT after the troubles"
        }
    }

    private suspend fun watchCancelled(cluster: SoakCluster) {
        while (true) {
            delay(WATCH_EVERY)
            cluster.observer.refresh()
            cluster.observer.checkCancellations()
        }
    }

    private suspend fun waited(limit: Duration, reached: suspend () -> Boolean): Boolean {
        val began = TimeSource.Monotonic.markNow()
        while (!reached()) {
            if (began.elapsedNow() > limit) return false
            delay(WATCH_EVERY)
        }
        return true
    }

    private companion object {
        /** The status with which a process ends that has run out of memory: that is one of the troubles. */
        const val MEMORY_EXIT = "status 3"
        val START_LIMIT = 30.seconds
        val WARM_UP = 5.seconds
        val SETTLE_LIMIT = 90.seconds
        val POLL_EVERY = 500.milliseconds
        val WATCH_EVERY = 100.milliseconds
    }
}
