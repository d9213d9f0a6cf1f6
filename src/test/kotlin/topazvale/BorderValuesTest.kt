package topazvale

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.fake.FakeCluster
import topazvale.net.HttpStatus
import topazvale.wire.Cbor
import topazvale.wire.JobWire
import kotlin.time.Duration.Companion.seconds

/** Jobs with the smallest and the largest numbers that the protocol allows. */
class BorderValuesTest : FailureScenario() {
    private val borders = listOf(0.0, Double.MIN_VALUE, 4e15, Long.MAX_VALUE / 1000.0, Double.MAX_VALUE)
    private val fields = listOf("expectS", "snapshotS", "flushS", "dueS", "sizeGb")

    private suspend fun FakeCluster.submitWith(id: String, changes: Map<String, Any?>) {
        val body = JobWire.encodeSpec(spec.copy(id = id, tasks = 1)) + changes
        jobs[id] = spec.copy(id = id, tasks = 1)
        val response = nodes.values.first().submit(Cbor.encode(body))
        assertEquals(HttpStatus.CREATED, response.status, "$id with $changes")
    }

    /** Guards against accepted jobs of which no controller can read the record, and against plans that fail by them. */
    @Test
    fun `a job with border values is answered for, runs, and can be cancelled`() = withCluster {
        val leaderAtFirst = leader
        val changes = fields.flatMap { field -> borders.map { mapOf(field to it) } } +
            borders.map { value -> fields.associateWith { value } }
        for ((index, change) in changes.withIndex()) {
            submitWith("job-run$index", change)
            submitWith("job-stop$index", change)
            nodes.values.forEach { assertEquals("queued", poll("job-run$index", it), "$change") }
        }
        for ((index, change) in changes.withIndex()) {
            assertEquals("withdrawn", tryCancel("job-stop$index", nodes.values.last()), "$change")
        }
        delay(90.seconds)
        for (index in changes.indices) awaitDone("job-run$index")
        assertEquals(leaderAtFirst, leader, "no plan has failed")
    }
}
