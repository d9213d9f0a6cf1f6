package topazvale

import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.cli.smallVertx
import topazvale.config.Address
import topazvale.config.Settings
import topazvale.config.SettingsTest
import topazvale.config.Tuning
import topazvale.config.WorkerLimits
import topazvale.fake.FakeCloud
import topazvale.fake.FakeStateService
import topazvale.fake.FakeStateStore
import topazvale.model.JobSpec
import topazvale.net.Call
import topazvale.net.Http
import topazvale.net.HttpResponse
import topazvale.net.PoolSettings
import topazvale.net.Sockets
import topazvale.reconcile.ServiceClients
import topazvale.store.Keys
import topazvale.wire.Cbor
import topazvale.wire.JobWire
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Complete controllers on the loopback interface, against fakes of the external services and workers. */
class ClusterTest {
    private class RunningNode(val vertx: Vertx, val node: Node, val state: FakeStateService, val port: Int)

    private val store = FakeStateStore()
    private val scope = CoroutineScope(Dispatchers.Default)
    private val clientVertx = smallVertx()
    private val http = Http(clientVertx, PoolSettings("test", maxConnections = 20, connectTimeout = 2.seconds))
    private val nodes = ArrayList<RunningNode>()
    private val cloud =
        FakeCloud(Samples.types.values.toList(), 500.milliseconds, LEASE, scope, http) { nodes.map { it.port } }
    private val spec = Samples.array.copy(tasks = 6, estimate = 1.seconds, need = Samples.array.need.copy(gpus = 0.0))

    private fun start(name: String) {
        val settings = Settings.parse(SettingsTest.TEXT, Tuning(leaderLease = 1.seconds)).copy(
            member = name,
            bind = Address("127.0.0.1", 0),
            mesh = Address("127.0.0.1", 0),
            peers = emptyList(),
            workers = WorkerLimits(500.milliseconds, lease = LEASE, 5.seconds, 2.seconds, cancelLimit = 12.seconds),
        )
        val vertx = smallVertx()
        val state = FakeStateService(store)
        val node =
            Node(
                vertx,
                settings,
                ServiceClients(state, cloud, cloud),
                Sockets(settings.maxConnections, fixedConnections = 0),
            )
        nodes += RunningNode(vertx, node, state, runBlocking { node.start() })
    }

    private fun kill(running: RunningNode) {
        nodes -= running
        running.node.close()
        running.vertx.close()
    }

    /** Repeats a call without a response: a node may close a connection at the moment at which it is reused. */
    private fun call(method: HttpMethod, path: String, body: ByteArray? = null): HttpResponse = eventually(30.seconds) {
        runBlocking { http.call(Address("127.0.0.1", nodes.last().port), Call(method, path, body, 5.seconds)) }
    }

    private fun submit(job: JobSpec): Int = eventually(10.seconds) {
        call(HttpMethod.POST, "/submissions", Cbor.encode(JobWire.encodeSpec(job))).status.takeIf { it != 503 }
    }

    private fun status(id: String) = call(HttpMethod.GET, "/submissions/$id").let {
        if (it.status ==
            200
        ) {
            Cbor.decodeMap(it.body)["status"]
        } else {
            it.status
        }
    }

    private fun <T : Any> eventually(timeout: Duration, probe: () -> T?): T {
        val end = TimeSource.Monotonic.markNow() + timeout
        while (true) {
            probe()?.let { return it }
            check(!end.hasPassedNow()) { "no result within $timeout" }
            runBlocking { delay(50.milliseconds) }
        }
    }

    private fun awaitDone(id: String) = eventually(60.seconds) { status(id).takeIf { it == "done" } }

    @AfterEach
    fun stop() {
        nodes.toList().forEach(::kill)
        scope.cancel()
        clientVertx.close()
    }

    @Test
    fun `an array is accepted once, runs and stays done`() {
        start("node-0")
        assertEquals(201, submit(spec))
        assertEquals(200, submit(spec))
        awaitDone(spec.id)
        assertEquals(200, submit(spec))
        assertEquals("done", status(spec.id))
        assertEquals(404, status("job-unknown"))
        assertEquals(422, submit(spec.copy(id = "job-3", team = "nobody")))
        assertTrue(cloud.duplicateRuns.isEmpty())
    }

    @Test
    fun `the end of a leader loses no task and starts none twice`() {
        start("node-0")
        submit(spec.copy(tasks = 40))
        eventually(30.seconds) { cloud.running.values.sum().takeIf { it > 0 } }
        start("node-1")
        kill(nodes.first())
        awaitDone(spec.id)
        assertTrue(cloud.duplicateRuns.isEmpty())
    }

    @Test
    fun `a leader that is the only node refused by the state service is replaced`() {
        start("node-0")
        submit(spec.copy(tasks = 40))
        eventually(30.seconds) { cloud.running.values.sum().takeIf { it > 0 } }
        start("node-1")
        nodes.first().state.refusing = true
        awaitDone(spec.id)
        assertTrue(cloud.duplicateRuns.isEmpty())
    }

    @Test
    fun `a leader that workers no longer reach is replaced`() {
        start("node-0")
        submit(spec.copy(tasks = 40))
        eventually(30.seconds) { cloud.running.values.sum().takeIf { it > 0 } }
        start("node-1")
        cloud.unreachablePort = nodes.first().port
        awaitDone(spec.id)
        assertEquals("node-1", store.get(Keys.LEADER)?.data?.get("member"))
        assertTrue(cloud.duplicateRuns.isEmpty())
    }

    @Test
    fun `a cancelled job has no running tasks and stays cancelled`() {
        start("node-0")
        submit(spec.copy(tasks = 40))
        assertEquals(200, call(HttpMethod.POST, "/submissions/${spec.id}/abort").status)
        assertEquals("withdrawn", status(spec.id))
        eventually(30.seconds) {
            Unit.takeIf { store.get("f/${spec.id}") != null && cloud.running.values.sum() == 0 }
        }
        assertEquals("withdrawn", status(spec.id))
    }

    @Test
    fun `delayed direct commands start no task twice`() {
        start("node-0")
        cloud.commandDelay = 700.milliseconds
        submit(spec.copy(tasks = 20))
        awaitDone(spec.id)
        runBlocking { delay(1.seconds) }
        assertTrue(cloud.duplicateRuns.isEmpty())
        assertEquals(0, cloud.running.values.sum())
    }

    @Test
    fun `users get status 503 while the state service is unavailable`() {
        start("node-0")
        submit(spec)
        nodes.single().state.refusing = true
        assertEquals(503, status("job-unknown"))
        assertEquals(
            503,
            call(HttpMethod.POST, "/submissions", Cbor.encode(JobWire.encodeSpec(spec.copy(id = "job-4")))).status,
        )
    }

    @Test
    fun `a process that restarts at once leads again, also in the middle of an election`() {
        start("node-0")
        submit(spec.copy(tasks = 40))
        eventually(30.seconds) { cloud.running.values.sum().takeIf { it > 0 } }
        val tokens = ArrayList<Long>()
        repeat(4) {
            tokens += eventually(10.seconds) { store.get(Keys.LEADER)?.version }
            kill(nodes.single())
            start("node-0")
            // The leader key of the former incarnation still exists, or the new incarnation is about to write it.
            runBlocking { delay((it * 40).milliseconds) }
        }
        awaitDone(spec.id)
        assertEquals(tokens.sorted(), tokens, "no token is used twice")
        assertTrue(cloud.duplicateRuns.isEmpty())
    }

    @Test
    fun `a machine that receives no responses is replaced and its tasks run elsewhere`() {
        start("node-0")
        cloud.hostsDroppingInbound += "n-000001"
        submit(spec.copy(tasks = 40))
        awaitDone(spec.id)
        eventually(60.seconds) { Unit.takeIf { "n-000001" !in runBlocking { cloud.listMachines() }.map { it.host } } }
        assertTrue(cloud.duplicateRuns.isEmpty())
    }

    @Test
    fun `delayed copies of reports change nothing, also over a change of leader`() {
        start("node-0")
        cloud.duplicateReportDelay = LEASE + 1.seconds
        submit(spec.copy(tasks = 40))
        eventually(30.seconds) { cloud.running.values.sum().takeIf { it > 0 } }
        start("node-1")
        kill(nodes.first())
        awaitDone(spec.id)
        val second = spec.copy(id = "job-5", tasks = 40)
        submit(second)
        awaitDone(second.id)
        assertTrue(cloud.duplicateRuns.isEmpty())
        assertEquals("done", status(spec.id))
    }

    @Test
    fun `a leader cut off from the state service and its peers rejects users and then workers`() {
        start("node-0")
        submit(spec.copy(tasks = 200))
        eventually(30.seconds) { cloud.running.values.sum().takeIf { it > 0 } }
        val cut = nodes.single()
        cut.state.hanging = true
        eventually(10.seconds) { call(HttpMethod.GET, "/healthz").status.takeIf { it == 503 } }
        val requestedAt = TimeSource.Monotonic.markNow()
        assertEquals(503, status("job-unknown"))
        assertTrue(requestedAt.elapsedNow() < 1.seconds, "the response is not delayed")
        start("node-1")
        awaitDone(spec.id)
        assertTrue(cloud.duplicateRuns.isEmpty())
    }

    @Test
    fun `every job finishes after a random mix of faults`() {
        start("node-0")
        start("node-1")
        val jobs = (1..6).map { spec.copy(id = "job-1$it") }
        val random = Random(7)
        for (job in jobs) {
            submit(job)
            when (random.nextInt(4)) {
                0 -> kill(nodes.first()).also { start("node-${random.nextInt(2, 9)}") }
                1 -> nodes.first().state.refusing = true
                2 -> nodes.last().state.losesResponses = true
                else -> cloud.commandDelay = 300.milliseconds
            }
            runBlocking { delay(random.nextInt(300).milliseconds) }
            nodes.forEach {
                it.state.refusing = false
                it.state.losesResponses = false
            }
            cloud.commandDelay = null
        }
        for (job in jobs) awaitDone(job.id)
        assertTrue(cloud.duplicateRuns.isEmpty())
    }

    private companion object {
        val LEASE = 4.seconds
    }
}
