package topazvale

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.fake.FakeCluster
import topazvale.model.JobSpec
import topazvale.model.Rank
import topazvale.model.Resources
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Jobs bound to one zone, or spread over zones, that move between zones while leaders change. */
class ZoneFailuresTest : FailureScenario() {
    private val small = spec.copy(need = Resources(3.0, 0.0, 4.0), spotAllowed = true)

    private fun boundJobs(round: Int) = (1..4).map {
        small.copy(id = "job-$round$it", tasks = 10, oneZone = it % 4 != 0, spread = it % 4 == 0, estimate = 8.seconds)
    }

    /** Urgent work for one zone preempts the arrays there, which then go on in the other zone. */
    private fun urgentJob(id: String, zone: String): JobSpec = spec.copy(
        id = id,
        tasks = 8,
        rank = Rank.URGENT,
        zone = zone,
        need = Resources(14.0, 0.0, 20.0),
        estimate = 5.seconds,
    )

    private suspend fun FakeCluster.moveJobsAndChangeLeader(round: Int, random: Random) {
        val zone = if (round % 2 == 0) "a" else "b"
        zonesWithoutCapacity = setOf(zone)
        boundJobs(round).forEach { submit(it) }
        submit(small.copy(id = "job-keeper-$round", tasks = 2, estimate = 300.seconds))
        delay(random.nextInt(2000, 6000).milliseconds)
        submit(urgentJob("job-urgent-$round", zone))
        delay(random.nextInt(1000, 5000).milliseconds)
        val busy = workers.values.filter { it.runningTasks.isNotEmpty() }
        val cutOff = busy.filter { random.nextInt(4) == 0 }
        cutOff.forEach { it.faults.canReach = { false } }
        failOver(restartAfter = random.nextInt(300, 2000).milliseconds)
        delay(random.nextInt(2000, 9000).milliseconds)
        cutOff.forEach { it.faults.canReach = { true } }
    }

    @Test
    fun `jobs bound to one zone that move to another start nothing in the former one after a change of leader`() {
        for (seed in 1..SEEDS) {
            val random = Random(seed)
            withCluster {
                taskTime = { job, index ->
                    if (job.estimate > 60.seconds) job.estimate else job.estimate * (0.5 + index * 7 % 10 / 10.0)
                }
                repeat(ROUNDS) { moveJobsAndChangeLeader(it, random) }
                zonesWithoutCapacity = emptySet()
                repeat(ROUNDS) { round -> boundJobs(round).forEach { awaitDone(it.id) } }
                assertEquals(emptyList<String>(), violations, "seed $seed")
            }
        }
    }

    private companion object {
        const val SEEDS = 12
        const val ROUNDS = 4
    }
}
