package topazvale

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.fake.FakeCluster
import topazvale.wire.Change
import kotlin.time.Duration.Companion.seconds

/** Records that a controller cannot read, damaged or of a later version: it goes on, and starts nothing on a guess. */
@OptIn(ExperimentalCoroutinesApi::class)
class UnreadableRecordsTest {
    private val array = Samples.array.copy(tasks = 6, need = Samples.array.need.copy(gpus = 0.0))

    @Test
    fun `starts that cannot be read keep all others back until their leases must have ended`() = runTest {
        val world = FakeCluster(this)
        world.store.commit(emptyList(), listOf(Change.Put("s/9-9", mapOf("starts" to listOf("?")))))
        world.awaitCondition(30.seconds, "somebody leads") { world.leader != null }
        world.submit(array)
        val settings = world.settings.workers
        // A former leader may have answered reports for its grace, and a lease lasts on from the last answer.
        delay(settings.cancelLimit - 8.seconds)
        assertEquals(0, world.starts)
        world.awaitDone(array.id)
        assertEquals(emptyList<String>(), world.violations)
    }

    /**
     * A team is at its limit with a job whose record the next leader cannot read. Its tasks were on no placement until
     * their workers reported, and on that of no team after that: the team's next job was started beside them.
     */
    @Test
    fun `a job that cannot be read still counts for its team's limit`() {
        for (machinesDeaf in listOf(false, true)) {
            runTest {
                val world = FakeCluster(this)
                world.taskTime = { _, _ -> 300.seconds }
                world.awaitCondition(30.seconds, "somebody leads") { world.leader != null }
                val atLimit = Samples.array.copy(tasks = 8)
                world.submit(atLimit)
                world.awaitRunning(atLimit.id, 8)
                world.submit(atLimit.copy(id = "job-2"))
                world.store.commit(emptyList(), listOf(Change.Put("j/${atLimit.id}", mapOf("job" to "?"))))
                world.workers.values.forEach { it.faults.dropsInbound = machinesDeaf }
                world.leader?.stop()
                delay(5.seconds)
                world.workers.values.forEach { it.faults.dropsInbound = false }
                world.awaitRunning("job-2", 8, 120.seconds)
                assertEquals(emptyList<String>(), world.violations, "machines deaf: $machinesDeaf")
            }
        }
    }

    @Test
    fun `a job that cannot be read keeps no other from being served`() = runTest {
        val world = FakeCluster(this)
        world.awaitCondition(30.seconds, "somebody leads") { world.leader != null }
        world.store.commit(emptyList(), listOf(Change.Put("j/job-unreadable", mapOf("job" to "?"))))
        world.submit(array)
        world.awaitDone(array.id)
        world.leader?.stop()
        delay(10.seconds)
        val second = array.copy(id = "job-2")
        world.submit(second)
        world.awaitDone(second.id)
        assertTrue("j/job-unreadable" in world.store.values.keys)
        assertEquals(emptyList<String>(), world.violations)
    }
}
