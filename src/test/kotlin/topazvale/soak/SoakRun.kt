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

/** The result of one run. */
class SoakResult(
    val seed: Long,
    val schedule: List<ScheduledFault>,
    val failures: List<String>,
    val starts: Int,
    val accepted: Int,
    val log: Path,
) {
    val passed get() = failures.isEmpty()
}

/**
 * One run: a fault schedule drawn from the seed, then quiescence without faults. The verdict rests on what workers and
 * users observe, on invariant violations that controllers log, and on processes that end unexpectedly.
 */
class SoakRun(private val seed: Long, private val options: SoakOptions, folder: Path) {
    private val folder = Files.createDirectories(folder.resolve("seed-$seed"))
    private val random = Random(seed)
    private val log = EventLog()

    /** Runs the workload and the fault schedule, waits for quiescence and collects the failures. */
    suspend fun run(): SoakResult {
        val vertx = smallVertx()
        val dispatcher = vertx.orCreateContext.dispatcher()
        val scope = CoroutineScope(dispatcher + SupervisorJob())
        val schedule = ScheduledFault.draw(random, options.faultDuration, options.kinds)
        val cluster = SoakCluster(vertx, scope, options, folder, Random(random.nextInt()), log)
        try {
            return withContext(dispatcher) { run(cluster, scope, schedule) }
        } finally {
            cluster.killAll()
            scope.cancel()
            vertx.close()
        }
    }

    private suspend fun run(cluster: SoakCluster, scope: CoroutineScope, schedule: List<ScheduledFault>): SoakResult {
        val failures = ArrayList<String>()
        cluster.start()
        if (!waitUntil(START_LIMIT) { cluster.leader != null }) failures += "nobody leads after $START_LIMIT"
        val watching = scope.launch { watchCancelledTasks(cluster) }
        val workload = Workload(cluster, scope, Random(random.nextInt()), options)
        workload.start(WARM_UP + options.faultDuration)
        delay(WARM_UP)
        injectFaults(cluster, workload, schedule)
        log.add("soak", "fault schedule ended")
        failures += awaitQuiescence(cluster, workload)
        watching.cancelAndJoin()
        failures += cluster.observer.violations.map { it.toString() }
        failures += log.containing("invariant_violated")
        failures += cluster.unexpectedExits.filterNot { OUT_OF_MEMORY_EXIT in it }.map { "ended_by_itself: $it" }
        return result(cluster, workload, schedule, failures)
    }

    private fun result(
        cluster: SoakCluster,
        workload: Workload,
        schedule: List<ScheduledFault>,
        failures: List<String>,
    ): SoakResult {
        val lines = failures.map { "FAILED $it" } + schedule.map { "SCHEDULE $it" } + log.lines()
        val file = Files.write(folder.resolve("merged.log"), lines)
        return SoakResult(seed, schedule, failures, cluster.observer.starts, workload.jobs.size, file)
    }

    private suspend fun injectFaults(cluster: SoakCluster, workload: Workload, schedule: List<ScheduledFault>) =
        coroutineScope {
            val injections = schedule.map { scheduled ->
                launch {
                    delay(scheduled.at)
                    log.add("fault", "${scheduled.trouble} begins")
                    scheduled.trouble.inject(FaultContext(cluster, workload, Random(scheduled.seed)))
                    log.add("fault", "${scheduled.trouble} ends")
                }
            }
            delay(options.faultDuration)
            injections.forEach { it.cancelAndJoin() }
        }

    /**
     * Waits after the fault schedule until each accepted job is reported as done or cancelled. Returns a failure for
     * each job that is not, except for a job that waits because its team is at its resource limit.
     */
    private suspend fun awaitQuiescence(cluster: SoakCluster, workload: Workload): List<String> {
        var unfinished = workload.unfinishedJobs()
        val isQuiescent = waitUntil(QUIESCENCE_LIMIT) {
            delay(POLL_INTERVAL)
            // A service ends only when it is cancelled. Its submission may have been accepted after the last iteration.
            workload.cancelServices()
            unfinished = workload.unfinishedJobs()
            unfinished.isEmpty()
        }
        if (isQuiescent) return emptyList()
        cluster.observer.refresh()
        // A job may wait without a time limit while its team is at its resource limit.
        return unfinished.filter { cluster.users.poll(it.id) == null || cluster.observer.isUnderLimit(it) }.map {
            "left: ${it.id} (${it.shape}) is ${cluster.users.poll(it.id)} $QUIESCENCE_LIMIT after the troubles"
        }
    }

    private suspend fun watchCancelledTasks(cluster: SoakCluster) {
        while (true) {
            delay(CHECK_INTERVAL)
            cluster.observer.refresh()
            cluster.observer.checkCancellations()
        }
    }

    private suspend fun waitUntil(limit: Duration, condition: suspend () -> Boolean): Boolean {
        val startedAt = TimeSource.Monotonic.markNow()
        while (!condition()) {
            if (startedAt.elapsedNow() > limit) return false
            delay(CHECK_INTERVAL)
        }
        return true
    }

    private companion object {
        /** The exit status of a process that ran out of memory, which is an injected fault and no failure. */
        const val OUT_OF_MEMORY_EXIT = "status 3"
        val START_LIMIT = 30.seconds
        val WARM_UP = 5.seconds
        val QUIESCENCE_LIMIT = 90.seconds
        val POLL_INTERVAL = 500.milliseconds
        val CHECK_INTERVAL = 100.milliseconds
    }
}
