package topazvale

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.config.SettingsTest
import topazvale.model.Rank
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Services and the limits of the state service during failures. */
class ServiceFailuresTest : FailureScenario() {
    @Test
    fun `replicas run until cancelled, start again when lost, and are spread over zones`() = withCluster {
        val service = Samples.service
        submit(service)
        awaitRunning(service.id, 3)
        delay(90.seconds)
        assertEquals("running", poll(service.id))
        val hosts = workers.values.filter { w -> w.runningTasks.any { it.startsWith(service.id) } }
        assertEquals(2, hosts.map { it.market.zone }.distinct().size)
        hosts.forEach { it.exitTask("${service.id}/0", "error") }
        hosts.forEach { it.exitTask("${service.id}/1", "done") }
        awaitCondition(20.seconds, "the ended replicas run again") { runningCount(service.id) == 3 }
        hosts[1].terminate()
        workers.remove(hosts[1].host)
        awaitCondition(20.seconds, "the replica restarts after the lease of the lost machine ends") {
            runningCount(service.id) == 3
        }
        failOver()
        delay(30.seconds)
        assertEquals(3, runningCount(service.id))
        assertEquals("withdrawn", cancel(service.id))
        awaitCondition(10.seconds, "no replica runs") { runningCount(service.id) == 0 }
        delay(50.seconds)
    }

    @Test
    fun `a new service and a lost replica find reserved capacity while urgent work fills all machines`() =
        withCluster(taskTime = 120.seconds) {
            val service = Samples.service
            submit(service)
            awaitRunning(service.id, 3)
            submit(spec.copy(tasks = 120, rank = Rank.URGENT))
            delay(40.seconds)
            val second = service.copy(id = "job-77", tasks = 4)
            submit(second)
            awaitCondition(4.seconds, "the second service starts in reserved capacity") { runningCount(second.id) == 4 }
            val host = workers.values.first { w -> w.runningTasks.any { it.startsWith(service.id) } }
            host.exitTask(host.runningTasks.first { it.startsWith(service.id) }, "error")
            awaitCondition(4.seconds, "the lost replica runs again") { runningCount(service.id) == 3 }
        }

    @Test
    fun `a replica that fails repeatedly backs off, and the other replicas keep running`() = withCluster {
        val service = Samples.service
        submit(service)
        awaitRunning(service.id, 3)
        repeat(200) {
            workers.values.forEach { w -> w.exitTask("${service.id}/1", "error") }
            delay(200.milliseconds)
        }
        assertTrue(starts < 20, "$starts starts")
        assertTrue("${service.id}/0" in running && "${service.id}/2" in running)
        awaitRunning(service.id, 3)
    }

    @Test
    fun `a service is cancelled while its machines pause, the leader changes and reports are delayed`() = withCluster {
        val service = Samples.service
        duplicateReportDelay = 9.seconds
        submit(service)
        awaitRunning(service.id, 3)
        workers.values.filter { it.runningTasks.isNotEmpty() }.forEachIndexed { i, w -> w.pause((8 + 3 * i).seconds) }
        val former = leader!!
        former.state.refusing = true
        cancel(service.id, followers.first())
        delay(30.seconds)
        former.state.refusing = false
        delay(30.seconds)
        assertEquals(0, runningCount(service.id))
        assertEquals("withdrawn", poll(service.id))
    }

    @Test
    fun `the state service lowers its limits during a term and as the leader changes`() =
        withCluster(taskTime = 15.seconds) {
            submit(Samples.service)
            submit(spec.copy(tasks = 200))
            delay(10.seconds)
            store.maxValueBytes = 2048
            store.maxTransactionOps = 8
            submit(spec.copy(id = "job-55", tasks = 200))
            failOver()
            awaitDone(spec.id, within = 300.seconds)
            awaitDone("job-55", within = 300.seconds)
            assertEquals(3, runningCount(Samples.service.id))
        }

    /** The settings announce the next limits, so all that is written before the change already keeps within them. */
    @Test
    fun `the state service lowers its limits during an outage in which the leader ends`() =
        withCluster(taskTime = 15.seconds, settingsText = SettingsTest.TEXT + NEXT_LIMITS) {
            val array = spec.copy(tasks = 200)
            submit(Samples.service)
            submit(array)
            awaitRunning(array.id, 20)
            store.outage = true
            delay(5.seconds)
            store.maxValueBytes = 2048
            store.maxTransactionOps = 8
            val former = leader!!
            former.stop()
            delay(3.seconds)
            start(former.name)
            delay(10.seconds)
            store.outage = false
            submit(spec.copy(id = "job-55", tasks = 200))
            awaitDone(array.id, within = 300.seconds)
            awaitDone("job-55", within = 300.seconds)
            awaitRunning(Samples.service.id, 3)
        }

    private companion object {
        const val NEXT_LIMITS = "\n[deployment.state.next]\nwrite_rps = 35.0\nvalue_kb = 2.0\ntxn_ops = 8\n"
    }
}
