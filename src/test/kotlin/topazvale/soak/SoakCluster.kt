package topazvale.soak

import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import topazvale.Samples
import topazvale.config.Address
import topazvale.config.Settings
import topazvale.emulator.ProtocolObserver
import topazvale.emulator.UserEmulator
import topazvale.emulator.WorkerEnvironment
import topazvale.fake.FakeStateStore
import topazvale.model.Clocks
import topazvale.model.JobSpec
import topazvale.net.Http
import topazvale.store.Keys
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One controller of a soak: its process, and its ways to the state service and from its peers. */
class SoakMember(
    val process: ControllerProcess,
    val state: StateServer,
    val peers: PeerLink,
    val port: HttpControllerPort,
)

/** What a run is made of, besides its seed. */
class SoakOptions(
    val program: Program,
    val workers: Int,
    val controllers: Int,
    val troubles: Duration,
    val logLevel: String,
    val kinds: List<Trouble>,
    val times: SoakTimes,
) {
    /** For how long a command may be on its way. */
    val longestCommand: Duration
        get() = if (kinds.any { it.holdsCommands }) times.cancelS.seconds else USUAL_COMMAND

    private companion object {
        /** The slowest of all kinds of trouble that hold no command, and its time in the controller's own queue. */
        val USUAL_COMMAND = 3.seconds
    }
}

/** How often workers report, and how long their leases are, in seconds. */
class SoakTimes(val reportS: Double, val leaseS: Double) {
    /** How long a cancellation may take: a lease beyond the grace of a leader that is cut off. */
    val cancelS: Double get() = 2 * leaseS + CANCEL_MARGIN_S

    private companion object {
        const val CANCEL_MARGIN_S = 4.0
    }
}

/**
 * Real controllers on the loopback, with stand-ins for state service, cloud, workers and users. Everything but the
 * controllers runs on one event loop.
 */
class SoakCluster(
    private val vertx: Vertx,
    private val scope: CoroutineScope,
    private val options: SoakOptions,
    private val folder: Path,
    val random: Random,
    val log: EventLog,
) : WorkerEnvironment {
    /** What the state service holds. */
    val store = FakeStateStore()
    override val clocks = Clocks.SYSTEM
    override val members = List(options.controllers) { "node-$it" }
    private val settings = Settings.parse(SoakSettings(members.first(), 1, 1, emptyList(), 1, 1, options).text())
    override val limits = settings.workers
    override val observer = ProtocolObserver(settings, clocks)
    private val http = Http(vertx, maxConnections = options.workers + USER_CONNECTIONS, connectTimeout = 1.seconds)

    /** The machines and their workers. */
    val cloud = CloudServer(vertx, scope, this, options.workers, random, log)

    /** The controllers, by name. */
    val nodes = LinkedHashMap<String, SoakMember>()

    /** What users do. */
    val users = UserEmulator(observer, clocks) { nodes.values.random(random).port }
    override var duplicateReportDelay: Duration? = null

    /** Starts stand-ins and controllers. */
    suspend fun start() {
        observer.maxCommandDelay = options.longestCommand
        observer.refresh = { cloud.workers.forEach { it.expireLeaseIfDue() } }
        val cloudPort = cloud.listen()
        val binds = Ports.take(members.size)
        val meshes = Ports.take(members.size)
        val links = meshes.map { PeerLink(vertx, it) }
        val linkPorts = links.map { it.listen() }
        members.forEachIndexed { i, member ->
            val state = StateServer(vertx, scope, store, random)
            val peers = members.indices.filter { it != i }.map { members[it] to linkPorts[it] }
            val text = SoakSettings(member, binds[i], meshes[i], peers, cloudPort, state.listen(), options).text()
            val file = Files.writeString(folder.resolve("$member.toml"), text)
            val process = ControllerProcess(member, options.program, file, options.logLevel, log)
            val port = HttpControllerPort(http, Address(HttpStandIn.LOOPBACK, binds[i]))
            nodes[member] = SoakMember(process, state, links[i], port)
        }
        nodes.values.forEach { it.process.start() }
        scope.launch { superviseProcesses() }
    }

    /** A process that has ended by itself is started again after a while. */
    private suspend fun superviseProcesses() {
        while (true) {
            delay(SUPERVISION_INTERVAL)
            for (member in nodes.values) {
                val status = member.process.ownExit ?: continue
                log.add(member.process.member, "process ended with status $status")
                ownExits += "${member.process.member} with status $status"
                delay(RESTART_DELAY)
                member.process.start()
            }
        }
    }

    /** Processes that have ended by themselves. */
    val ownExits = ArrayList<String>()

    /** Ends all processes. */
    fun end() = nodes.values.forEach { it.process.kill() }

    /** The controller that leads by the state service's word. */
    val leader: SoakMember? get() = nodes[store.get(Keys.LEADER)?.data?.get("member")]

    override fun controller(member: String) = nodes[member]?.takeIf { it.process.alive }?.port

    override fun controllers() = nodes.values.filter { it.process.alive }.map { it.port }

    override fun taskTime(spec: JobSpec, index: Int): Duration =
        spec.estimate * (LEAST_OF_ESTIMATE + (spec.id.hashCode() + index).mod(SPREAD) / SPREAD.toDouble())

    override fun fetchTime(spec: JobSpec): Duration = FETCH * ((spec.image.hashCode()).mod(SPREAD) / SPREAD.toDouble())

    override fun recordEvent(host: String, what: String) = log.add(host, what)

    private companion object {
        const val USER_CONNECTIONS = 50
        const val LEAST_OF_ESTIMATE = 0.5
        const val SPREAD = 16
        val FETCH = 600.milliseconds
        val SUPERVISION_INTERVAL = 500.milliseconds
        val RESTART_DELAY = 2.seconds
    }
}

/** The settings of one controller of a soak: short leases, so that much happens in little time. */
class SoakSettings(
    private val member: String,
    private val bind: Int,
    private val mesh: Int,
    private val peers: List<Pair<String, Int>>,
    private val cloud: Int,
    private val state: Int,
    options: SoakOptions,
) {
    private val times = options.times

    /** A connection for each worker, and those of users and peers. */
    private val connections = maxOf(LEAST_CONNECTIONS, options.workers * 3 / 2)

    /** The settings file. */
    fun text(): String = """
        member = "$member"
        area = "a"
        bind = "${HttpStandIn.LOOPBACK}:$bind"
        mesh_addr = "${HttpStandIn.LOOPBACK}:$mesh"
        ${peers.joinToString("\n") { (name, port) -> seed(name, port) }}
        [outside]
        cloud = "${HttpStandIn.LOOPBACK}:$cloud"
        state = "${HttpStandIn.LOOPBACK}:$state"
        [deployment]
        initial_size = ${peers.size + 1}
        clock_error_ms = 5.0
        ${Samples.teams.values.joinToString("\n") { team(it.name, it.limitCpus, it.limitGpus) }}
        [deployment.workers]
        report_s = ${times.reportS}
        lease_s = ${times.leaseS}
        gang_wait_s = 10.0
        gang_peer_s = 2.0
        cancel_s = ${times.cancelS}
        [deployment.state]
        rps = 400.0
        write_rps = 120.0
        value_kb = 8.0
        txn_ops = 24
        [deployment.cloud]
        rps = 20.0
        list_lag_s = 1.0
        [deployment.resources]
        cpu_share = 0.5
        mem_mb = 239.0
        max_connections = $connections
    """.trimIndent()

    private fun seed(name: String, port: Int) =
        "[[seeds]]\nmember = \"$name\"\narea = \"a\"\naddress = \"${HttpStandIn.LOOPBACK}:$port\""

    private fun team(name: String, cpus: Double?, gpus: Double?) =
        "[[deployment.teams]]\nname = \"$name\"\ncpus = 0.0\ncpus_max = ${cpus ?: 0.0}\ngpus = 0.0\ngpus_max = ${gpus ?: 0.0}"

    private companion object {
        const val LEAST_CONNECTIONS = 1800
    }
}
