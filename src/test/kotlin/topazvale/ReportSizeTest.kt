package topazvale

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.fake.FakeCluster
import topazvale.model.Resources
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Guards against reports that grow with the number of tasks that a long-lived worker has run. */
@OptIn(ExperimentalCoroutinesApi::class)
class ReportSizeTest : FailureScenario() {
    @Test
    fun `reports stay small however many short tasks a worker has run`() = runTest(timeout = 5.minutes) {
        val cluster = FakeCluster(this, members = listOf("node-0"))
        cluster.capacity = 2
        cluster.taskTime = { _, index -> (500 + index % 7 * 300).milliseconds }
        val end = cluster.clocks.mark() + 20.minutes
        var batch = 0
        while (end.hasNotPassedNow()) {
            val job = spec.copy(
                id = "job-${++batch}",
                tasks = 200,
                need = Resources(1.0, 0.0, 1.0),
                estimate = 1.seconds,
            )
            cluster.submit(job)
            if (batch % 10 == 0) cluster.workers.values.forEach { it.pause(3.seconds) }
            while (cluster.poll(job.id) != "done") delay(1.seconds)
        }
        delay(20.seconds)
        assertEquals(emptyList<String>(), cluster.violations)
        val largest = cluster.workers.values.maxOf { it.largestReportBytes }
        println("${cluster.starts} starts, largest report $largest bytes")
        assertTrue(largest < MAX_BODY_BYTES, "$largest bytes")
        assertEquals(0, cluster.workers.values.sumOf { it.listedTasks })
    }

    private companion object {
        const val MAX_BODY_BYTES = 64 * 1024
    }
}
