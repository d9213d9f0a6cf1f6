package topazvale

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.fake.FakeCluster
import topazvale.model.JobSpec
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against tasks that start after the end of their job. Jobs end and are cancelled while the leader's view of
 * them is stale: the state service rejects its watch as too old, listings arrive page by page, and watch responses are
 * delayed. The leader took an ended job for a new one and started its tasks again. A worker that had kept the result
 * ended such a task at once, which hid the start.
 */
class JobEndFailuresTest : FailureScenario() {
    @Test
    fun `no task starts after its job is done, however stale the leader's view is`() {
        for (seed in 1..SEEDS) {
            val random = Random(seed)
            withCluster(taskTime = 3.seconds) {
                coroutineScope {
                    val delaying = launch { compactAndDelayReads(random) }
                    runShortJobs(random, duration = 40.seconds)
                    delaying.cancel()
                }
                // No fault delays commands here, so no start can still be in flight when a job ends.
                assertEquals(emptyList<String>(), observer.attemptsAfterDone, "seed $seed")
            }
        }
    }

    /** Submits short jobs for [duration], and cancels some of them at about the time at which they end. */
    private suspend fun FakeCluster.runShortJobs(random: Random, duration: Duration) = coroutineScope {
        val end = clocks.mark() + duration
        var number = 100
        while (end.hasNotPassedNow()) {
            val job = spec.copy(id = "job-${number++}", tasks = random.nextInt(1, 3))
            launch { runJob(job, random) }
            delay(random.nextInt(200, 700).milliseconds)
        }
    }

    private suspend fun FakeCluster.runJob(job: JobSpec, random: Random) {
        submit(job)
        if (random.nextInt(2) == 0) {
            delay(random.nextInt(2500, 4500).milliseconds)
            cancel(job.id)
        } else {
            awaitDone(job.id)
        }
    }

    /** Repeatedly compacts the store, which makes the leader's watch too old, and delays what the nodes read. */
    private suspend fun FakeCluster.compactAndDelayReads(random: Random) {
        while (true) {
            for (node in nodes.values) {
                node.state.pageSize = random.nextInt(1, 6)
                node.state.pageDelay = random.nextInt(20, 200).milliseconds
                node.state.watchDelay = random.nextInt(0, 1000).milliseconds
            }
            delay(random.nextInt(300, 3000).milliseconds)
            store.compact()
        }
    }

    private companion object {
        const val SEEDS = 6
    }
}
