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

/** Guards the leader's view of worker leases against messages that arrive out of order and clocks that drift. */
class LeaseFailuresTest : FailureScenario() {
    /**
     * Reports take up to 1.5 s to arrive while direct commands and their responses take 3 ms. Single tasks are
     * submitted and cancelled, so direct responses overtake reports. Then half of the machines are cut off while
     * other machines have free capacity.
     */
    @Test
    fun `direct commands overtake slow reports, and then half of the machines are cut off`() {
        for (seed in 1..SEEDS) {
            val random = Random(seed)
            withCluster(taskTime = 300.seconds) {
                clockRate = { 1.0 + random.nextDouble(-CLOCK_DRIFT, CLOCK_DRIFT) }
                submit(spec.copy(id = "job-1", tasks = 20, estimate = 300.seconds))
                awaitRunning("job-1", 20)
                val slowWorkers = workers.values.toList()
                slowWorkers.forEach { it.faults.reportDelay = { random.nextInt(900, 1500).milliseconds } }
                submitAndCancelJobs(random, duration = 12.seconds)
                slowWorkers.shuffled(random).take(slowWorkers.size / 2).forEach { worker ->
                    worker.faults.canReach = { false }
                    delay(random.nextInt(0, 400).milliseconds)
                }
                delay(25.seconds)
                assertEquals(emptyList<String>(), violations, "seed $seed")
                cancel("job-1")
            }
        }
    }

    /** Submits one-task jobs for [duration], about two a second, and cancels each within 0.5 to 3 s. */
    private suspend fun FakeCluster.submitAndCancelJobs(random: Random, duration: kotlin.time.Duration) =
        coroutineScope {
            val end = clocks.mark() + duration
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

        /** The largest clock drift that the protocol allows. */
        const val CLOCK_DRIFT = 0.0005
    }
}
