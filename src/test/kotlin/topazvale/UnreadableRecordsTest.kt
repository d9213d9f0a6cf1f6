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

/** A controller that cannot read a record, damaged or of a later version, goes on and starts no task on a guess. */
@OptIn(ExperimentalCoroutinesApi::class)
class UnreadableRecordsTest {
    private val array = Samples.array.copy(tasks = 6, need = Samples.array.need.copy(gpus = 0.0))

    @Test
    fun `an unreadable record of starts delays all new starts until the leases must have ended`() = runTest {
        val cluster = FakeCluster(this)
        cluster.store.commit(emptyList(), listOf(Change.Put("s/9-9", mapOf("starts" to listOf("?")))))
        cluster.awaitCondition(30.seconds, "a controller leads") { cluster.leader != null }
        cluster.submit(array)
        val settings = cluster.settings.workers
        // A former leader may have answered reports during its lease grace period, and a worker's lease runs from the
        // last response.
        delay(settings.cancelLimit - 8.seconds)
        assertEquals(0, cluster.starts)
        cluster.awaitDone(array.id)
        assertEquals(emptyList<String>(), cluster.violations)
    }

    /**
     * Guards against a team above its limit. A team is at its limit with a job whose record the next leader cannot
     * read. No placement of the job's tasks was tracked until their workers reported, and then it counted for no team,
     * so the leader started the team's next job beside them.
     */
    @Test
    fun `an unreadable job still counts towards its team's limit`() {
        for (droppingInbound in listOf(false, true)) {
            runTest {
                val cluster = FakeCluster(this)
                cluster.taskTime = { _, _ -> 300.seconds }
                cluster.awaitCondition(30.seconds, "a controller leads") { cluster.leader != null }
                val atLimit = Samples.array.copy(tasks = 8)
                cluster.submit(atLimit)
                cluster.awaitRunning(atLimit.id, 8)
                cluster.submit(atLimit.copy(id = "job-2"))
                cluster.store.commit(emptyList(), listOf(Change.Put("j/${atLimit.id}", mapOf("job" to "?"))))
                cluster.workers.values.forEach { it.faults.dropsInbound = droppingInbound }
                cluster.leader?.stop()
                delay(5.seconds)
                cluster.workers.values.forEach { it.faults.dropsInbound = false }
                cluster.awaitRunning("job-2", 8, 120.seconds)
                assertEquals(emptyList<String>(), cluster.violations, "inbound messages dropped: $droppingInbound")
            }
        }
    }

    @Test
    fun `an unreadable job does not keep other jobs from running`() = runTest {
        val cluster = FakeCluster(this)
        cluster.awaitCondition(30.seconds, "a controller leads") { cluster.leader != null }
        cluster.store.commit(emptyList(), listOf(Change.Put("j/job-unreadable", mapOf("job" to "?"))))
        cluster.submit(array)
        cluster.awaitDone(array.id)
        cluster.leader?.stop()
        delay(10.seconds)
        val second = array.copy(id = "job-2")
        cluster.submit(second)
        cluster.awaitDone(second.id)
        assertTrue("j/job-unreadable" in cluster.store.values.keys)
        assertEquals(emptyList<String>(), cluster.violations)
    }
}
