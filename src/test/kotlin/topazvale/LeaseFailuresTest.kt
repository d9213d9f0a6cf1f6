package topazvale

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.fake.FakeCluster
import topazvale.model.JobSpec
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a worker's lease is judged by, where its messages overtake one another and clocks drift. */
class LeaseFailuresTest : FailureScenario() {
    /**
     * Reports take up to 1.5 s on their way while direct commands and their answers take 3 ms. Single tasks come and are
     * cancelled, so that direct answers overtake reports; then the machines are cut off, with room elsewhere.
     */
    @Test
    fun `direct commands overtake slow reports, and then the machines are cut off`() {
        for (seed in 1..SEEDS) {
            val random = Random(seed)
            withCluster(taskTime = 300.seconds) {
                clockRate = { 1.0 + random.nextDouble(-CLOCK_DRIFT, CLOCK_DRIFT) }
                submit(spec.copy(id = "job-1", tasks = 20, estimate = 300.seconds))
                awaitRunning("job-1", 20)
                val slow = workers.values.toList()
                slow.forEach { it.faults.reportDelay = { random.nextInt(900, 1500).milliseconds } }
                comeAndGo(random, until = 12.seconds)
                slow.shuffled(random).take(slow.size / 2).forEach { worker ->
                    worker.faults.canReach = { false }
                    delay(random.nextInt(0, 400).milliseconds)
                }
                delay(25.seconds)
                assertEquals(emptyList<String>(), violations, "seed $seed")
                cancel("job-1")
            }
        }
    }

    /** One-task jobs are submitted twice a second, and cancelled within moments. */
    private suspend fun FakeCluster.comeAndGo(random: Random, until: kotlin.time.Duration) = coroutineScope {
        val end = clocks.mark() + until
        var number = 100
        while (end.hasNotPassedNow()) {
            val job: JobSpec = spec.copy(id = "job-${number++}", tasks = 1, estimate = 300.seconds)
            launch {
                submit(job)
                delay(random.nextInt(500, 3000).milliseconds)
                cancel(job.id)
            }
            delay(random.nextInt(200, 700).milliseconds)
        }
    }

    private companion object {
        const val SEEDS = 12

        /** The drift that the protocol allows. */
        const val CLOCK_DRIFT = 0.0005
    }
}
