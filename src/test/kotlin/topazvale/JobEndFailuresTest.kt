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
 * Jobs end and are cancelled while the leader's view of them lags: its watch is told that it is too old, listings come
 * page by page, answers to watches take their time. A job that ended was taken for a new one, and its tasks were started
 * again; a worker that kept a result ended it at once, which hid the start.
 */
class JobEndFailuresTest : FailureScenario() {
    @Test
    fun `no task begins once its job is done, however late the leader's view`() {
        for (seed in 1..SEEDS) {
            val random = Random(seed)
            withCluster(taskTime = 3.seconds) {
                coroutineScope {
                    val lagging = launch { lag(random) }
                    comeAndEnd(random, until = 40.seconds)
                    lagging.cancel()
                }
                // No command is held up here, so that not one is on its way either.
                assertEquals(emptyList<String>(), observer.attemptsAfterDone, "seed $seed")
            }
        }
    }

    /** Short jobs, some cancelled at about their end. */
    private suspend fun FakeCluster.comeAndEnd(random: Random, until: Duration) = coroutineScope {
        val end = clocks.mark() + until
        var number = 100
        while (end.hasNotPassedNow()) {
            val job = spec.copy(id = "job-${number++}", tasks = random.nextInt(1, 3))
            launch { live(job, random) }
            delay(random.nextInt(200, 700).milliseconds)
        }
    }

    private suspend fun FakeCluster.live(job: JobSpec, random: Random) {
        submit(job)
        if (random.nextInt(2) == 0) {
            delay(random.nextInt(2500, 4500).milliseconds)
            cancel(job.id)
        } else {
            awaitDone(job.id)
        }
    }

    /** The leader's watch is too old again and again, and what it reads comes late. */
    private suspend fun FakeCluster.lag(random: Random) {
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
