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

/** Whole controllers over loopback, with stand-ins for what is outside. */
class ClusterTest {
    private class Running(val vertx: Vertx, val node: Node, val state: FakeStateService, val port: Int)

    private val store = FakeStateStore()
    private val scope = CoroutineScope(Dispatchers.Default)
    private val clients = smallVertx()
    private val http = Http(clients, maxConnections = 20, connectTimeout = 2.seconds)
    private val nodes = ArrayList<Running>()
    private val cluster =
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
                ServiceClients(state, cluster, cluster),
                Sockets(settings.maxConnections, fixedConnections = 0),
            )
        nodes += Running(vertx, node, state, runBlocking { node.start() })
    }

    private fun kill(running: Running) {
        nodes -= running
        running.node.close()
        running.vertx.close()
    }

    /** A node that closes a connection may do so just as it is used once more. */
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

    private fun <T : Any> eventually(within: Duration, look: () -> T?): T {
        val end = TimeSource.Monotonic.markNow() + within
        while (true) {
            look()?.let { return it }
            check(!end.hasPassedNow()) { "not within $within" }
            runBlocking { delay(50.milliseconds) }
        }
    }

    private fun done(id: String) = eventually(60.seconds) { status(id).takeIf { it == "done" } }

    @AfterEach
    fun stop() {
        nodes.toList().forEach(::kill)
        scope.cancel()
        clients.close()
    }

    @Test
    fun `an array is accepted once, run and done for ever`() {
        start("node-0")
        assertEquals(201, submit(spec))
        assertEquals(200, submit(spec))
        done(spec.id)
        assertEquals(200, submit(spec))
        assertEquals("done", status(spec.id))
        assertEquals(404, status("job-unknown"))
        assertEquals(422, submit(spec.copy(id = "job-3", team = "nobody")))
        assertTrue(cluster.duplicateRuns.isEmpty())
    }

    @Test
    fun `a leader's end loses nothing and doubles nothing`() {
        start("node-0")
        submit(spec.copy(tasks = 40))
        eventually(30.seconds) { cluster.running.values.sum().takeIf { it > 0 } }
        start("node-1")
        kill(nodes.first())
        done(spec.id)
        assertTrue(cluster.duplicateRuns.isEmpty())
    }

    @Test
    fun `a leader refused by the state service alone gives way`() {
        start("node-0")
        submit(spec.copy(tasks = 40))
        eventually(30.seconds) { cluster.running.values.sum().takeIf { it > 0 } }
        start("node-1")
        nodes.first().state.refusing = true
        done(spec.id)
        assertTrue(cluster.duplicateRuns.isEmpty())
    }

    @Test
    fun `a leader that hears no worker any more gives way`() {
        start("node-0")
        submit(spec.copy(tasks = 40))
        eventually(30.seconds) { cluster.running.values.sum().takeIf { it > 0 } }
        start("node-1")
        cluster.unreachablePort = nodes.first().port
        done(spec.id)
        assertEquals("node-1", store.get(Keys.LEADER)?.data?.get("member"))
        assertTrue(cluster.duplicateRuns.isEmpty())
    }

    @Test
    fun `a cancelled job has nothing running and stays cancelled`() {
        start("node-0")
        submit(spec.copy(tasks = 40))
        assertEquals(200, call(HttpMethod.POST, "/submissions/${spec.id}/abort").status)
        assertEquals("withdrawn", status(spec.id))
        eventually(30.seconds) {
            Unit.takeIf { store.get("f/${spec.id}") != null && cluster.running.values.sum() == 0 }
        }
        assertEquals("withdrawn", status(spec.id))
    }

    @Test
    fun `straight orders that arrive late start nothing twice`() {
        start("node-0")
        cluster.commandDelay = 700.milliseconds
        submit(spec.copy(tasks = 20))
        done(spec.id)
        runBlocking { delay(1.seconds) }
        assertTrue(cluster.duplicateRuns.isEmpty())
        assertEquals(0, cluster.running.values.sum())
    }

    @Test
    fun `without the state service users are told when to come back`() {
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
    fun `a process that is back at once leads anew, also in the middle of an election`() {
        start("node-0")
        submit(spec.copy(tasks = 40))
        eventually(30.seconds) { cluster.running.values.sum().takeIf { it > 0 } }
        val tokens = ArrayList<Long>()
        repeat(4) {
            tokens += eventually(10.seconds) { store.get(Keys.LEADER)?.version }
            kill(nodes.single())
            start("node-0")
            // The key of the former life is still there, or the new one is just being taken.
            runBlocking { delay((it * 40).milliseconds) }
        }
        done(spec.id)
        assertEquals(tokens.sorted(), tokens, "no token is used twice")
        assertTrue(cluster.duplicateRuns.isEmpty())
    }

    @Test
    fun `a machine that does not hear us is replaced and its work done elsewhere`() {
        start("node-0")
        cluster.hostsDroppingInbound += "n-000001"
        submit(spec.copy(tasks = 40))
        done(spec.id)
        eventually(60.seconds) { Unit.takeIf { "n-000001" !in runBlocking { cluster.listMachines() }.map { it.host } } }
        assertTrue(cluster.duplicateRuns.isEmpty())
    }

    @Test
    fun `late copies of reports change nothing, over a change of leader either`() {
        start("node-0")
        cluster.duplicateReportDelay = LEASE + 1.seconds
        submit(spec.copy(tasks = 40))
        eventually(30.seconds) { cluster.running.values.sum().takeIf { it > 0 } }
        start("node-1")
        kill(nodes.first())
        done(spec.id)
        val second = spec.copy(id = "job-5", tasks = 40)
        submit(second)
        done(second.id)
        assertTrue(cluster.duplicateRuns.isEmpty())
        assertEquals("done", status(spec.id))
    }

    @Test
    fun `a leader cut from the state service and its peers sends users and then workers away`() {
        start("node-0")
        submit(spec.copy(tasks = 200))
        eventually(30.seconds) { cluster.running.values.sum().takeIf { it > 0 } }
        val cut = nodes.single()
        cut.state.hanging = true
        eventually(10.seconds) { call(HttpMethod.GET, "/healthz").status.takeIf { it == 503 } }
        val asked = TimeSource.Monotonic.markNow()
        assertEquals(503, status("job-unknown"))
        assertTrue(asked.elapsedNow() < 1.seconds, "the answer is not held back")
        start("node-1")
        done(spec.id)
        assertTrue(cluster.duplicateRuns.isEmpty())
    }

    @Test
    fun `after any mix of troubles every job is answered for`() {
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
                else -> cluster.commandDelay = 300.milliseconds
            }
            runBlocking { delay(random.nextInt(300).milliseconds) }
            nodes.forEach {
                it.state.refusing = false
                it.state.losesResponses = false
            }
            cluster.commandDelay = null
        }
        for (job in jobs) done(job.id)
        assertTrue(cluster.duplicateRuns.isEmpty())
    }

    private companion object {
        val LEASE = 4.seconds
    }
}
