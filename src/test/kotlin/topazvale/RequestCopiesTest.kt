package topazvale

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.fake.FakeCluster
import topazvale.model.Rank
import topazvale.model.Resources
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against requests of any kind that change something when they are delivered once more after their answer. */
class RequestCopiesTest : FailureScenario() {
    private fun jobs(random: Random) = listOf(
        spec.copy(id = "job-1", tasks = 20),
        spec.copy(id = "job-2", tasks = 8, oneZone = true),
        spec.copy(id = "job-3", tasks = 7, spread = true),
        spec.copy(id = "job-4", tasks = 6, rank = Rank.URGENT, need = Resources(14.0, 0.0, 4.0)),
        Samples.gang.copy(id = "job-5", need = Resources(4.0, 0.0, 4.0)),
        Samples.gang.copy(id = "job-6", tasks = 4, need = Resources(3.0, 0.0, 4.0)),
        Samples.service.copy(id = "job-7", need = Resources(1.0, 0.0, 2.0)),
    ) + (10 until 22).map { spec.copy(id = "job-$it", tasks = random.nextInt(1, 4), estimate = 2.seconds) }

    private suspend fun FakeCluster.disturb(random: Random) {
        when (random.nextInt(4)) {
            0 -> failOver(restartAfter = random.nextInt(1000).milliseconds)

            1 -> leader?.let {
                it.stop()
                start(it.name)
            }

            2 -> workers.values.randomOrNull(random)?.pause(random.nextInt(1, 10).seconds)

            else -> workers.values.randomOrNull(random)?.let { workers.remove(it.host)?.terminate() }
        }
    }

    @Test
    fun `copies of all requests, seconds to minutes late, change nothing`() {
        for (seed in 1..6) {
            val random = Random(seed)
            withCluster {
                taskTime = { job, index -> if (job.isService) 0.seconds else (2 + (index * 7 + seed) % 15).seconds }
                requestCopyDelay = { if (random.nextInt(3) == 0) random.nextInt(500, 90_000).milliseconds else null }
                val jobs = jobs(random)
                val cancelled = jobs.filter { random.nextInt(4) == 0 || it.isService }
                for (job in jobs) {
                    submit(job)
                    delay(random.nextInt(2000).milliseconds)
                    if (random.nextInt(4) == 0) disturb(random)
                }
                cancelled.forEach { cancel(it.id) }
                for (job in jobs - cancelled.toSet()) awaitDone(job.id)
                delay(90.seconds)
                assertEquals(emptyList<String>(), violations, "seed $seed")
                assertEquals(0, observer.running.size, "seed $seed: all jobs are over")
            }
        }
    }
}
