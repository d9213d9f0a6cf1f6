package topazvale

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.config.SettingsTest
import topazvale.model.Rank
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Services and the limits of the state service, while things fail. */
class ServiceFailuresTest : FailureScenario() {
    @Test
    fun `replicas run until cancelled, are back when lost, and lie apart`() = withCluster {
        val service = Samples.service
        submit(service)
        untilRunning(service.id, 3)
        delay(90.seconds)
        assertEquals("running", poll(service.id))
        val hosts = workers.values.filter { w -> w.on.any { it.startsWith(service.id) } }
        assertEquals(2, hosts.map { it.market.zone }.distinct().size)
        hosts.forEach { it.end("${service.id}/0", "error") }
        hosts.forEach { it.end("${service.id}/1", "done") }
        until(20.seconds, "back") { runningOf(service.id) == 3 }
        hosts[1].gone()
        workers.remove(hosts[1].host)
        until(20.seconds, "one machine is gone, and its lease is over") { runningOf(service.id) == 3 }
        handOver()
        delay(30.seconds)
        assertEquals(3, runningOf(service.id))
        assertEquals("withdrawn", cancel(service.id))
        until(10.seconds, "gone") { runningOf(service.id) == 0 }
        delay(50.seconds)
    }

    @Test
    fun `a service comes while all is full of urgent work, and a lost replica finds room that is kept`() =
        withCluster(taskTime = 120.seconds) {
            val service = Samples.service
            submit(service)
            untilRunning(service.id, 3)
            submit(spec.copy(tasks = 120, rank = Rank.URGENT))
            delay(40.seconds)
            val second = service.copy(id = "job-77", tasks = 4)
            submit(second)
            until(4.seconds, "room was kept") { runningOf(second.id) == 4 }
            val host = workers.values.first { w -> w.on.any { it.startsWith(service.id) } }
            host.end(host.on.first { it.startsWith(service.id) }, "error")
            until(4.seconds, "back") { runningOf(service.id) == 3 }
        }

    @Test
    fun `a replica that fails again and again rests, and its fellows go on`() = withCluster {
        val service = Samples.service
        submit(service)
        untilRunning(service.id, 3)
        repeat(200) {
            workers.values.forEach { w -> w.end("${service.id}/1", "error") }
            delay(200.milliseconds)
        }
        assertTrue(starts < 20, "$starts starts")
        assertTrue("${service.id}/0" in running && "${service.id}/2" in running)
        untilRunning(service.id, 3)
    }

    @Test
    fun `a service is cancelled while its machines hang, the leader changes and reports come late`() = withCluster {
        val service = Samples.service
        copies = 9.seconds
        submit(service)
        untilRunning(service.id, 3)
        workers.values.filter { it.on.isNotEmpty() }.forEachIndexed { i, w -> w.hang((8 + 3 * i).seconds) }
        val former = leader!!
        former.state.refusing = true
        cancel(service.id, followers.first())
        delay(30.seconds)
        former.state.refusing = false
        delay(30.seconds)
        assertEquals(0, runningOf(service.id))
        assertEquals("withdrawn", poll(service.id))
    }

    @Test
    fun `the state service lowers its limits in the midst of a term and as the leader changes`() =
        withCluster(taskTime = 15.seconds) {
            submit(Samples.service)
            submit(spec.copy(tasks = 200))
            delay(10.seconds)
            store.mostBytes = 2048
            store.mostOps = 8
            submit(spec.copy(id = "job-55", tasks = 200))
            handOver()
            untilDone(spec.id, within = 300.seconds)
            untilDone("job-55", within = 300.seconds)
            assertEquals(3, runningOf(Samples.service.id))
        }

    /** The settings name the next limits, so that whatever is written before the change keeps within them. */
    @Test
    fun `the state service lowers its limits during an outage, and the leader ends in it`() =
        withCluster(taskTime = 15.seconds, settingsText = SettingsTest.TEXT + NEXT_LIMITS) {
            val array = spec.copy(tasks = 200)
            submit(Samples.service)
            submit(array)
            untilRunning(array.id, 20)
            store.outage = true
            delay(5.seconds)
            store.mostBytes = 2048
            store.mostOps = 8
            val former = leader!!
            former.end()
            delay(3.seconds)
            start(former.name)
            delay(10.seconds)
            store.outage = false
            submit(spec.copy(id = "job-55", tasks = 200))
            untilDone(array.id, within = 300.seconds)
            untilDone("job-55", within = 300.seconds)
            untilRunning(Samples.service.id, 3)
        }

    private companion object {
        const val NEXT_LIMITS = "\n[deployment.state.next]\nwrite_rps = 35.0\nvalue_kb = 2.0\ntxn_ops = 8\n"
    }
}
