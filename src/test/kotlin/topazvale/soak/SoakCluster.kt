package topazvale.soak

import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import topazvale.Samples
import topazvale.config.Address
import topazvale.config.Settings
import topazvale.emulator.GangEmulator
import topazvale.emulator.ProtocolObserver
import topazvale.emulator.UserEmulator
import topazvale.emulator.WorkerEnvironment
import topazvale.fake.FakeStateStore
import topazvale.model.Clocks
import topazvale.model.JobSpec
import topazvale.net.Http
import topazvale.net.PoolSettings
import topazvale.store.Keys
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One controller: its process, its stand-in state service, its link from peers and its HTTP API. */
class SoakMember(
    val process: ControllerProcess,
    val state: StateServer,
    val peers: PeerLink,
    val port: HttpControllerPort,
)

/** Options of a run, apart from its seed. */
class SoakOptions(
    val program: Program,
    val workers: Int,
    val controllers: Int,
    val faultDuration: Duration,
    val logLevel: String,
    val kinds: List<Trouble>,
    val times: SoakTimes,
) {
    /** The longest time from sending a command to its execution. */
    val maxCommandDelay: Duration
        get() = if (kinds.any { it.delaysCommands }) times.cancelS.seconds else NORMAL_COMMAND_DELAY

    private companion object {
        /** The longest delay under the faults that don't delay commands, plus the time in the controller's queue. */
        val NORMAL_COMMAND_DELAY = 3.seconds
    }
}

/** The report interval and the lease duration of workers, in seconds. */
class SoakTimes(val reportS: Double, val leaseS: Double) {
    /** The time limit of a cancellation: one lease after the lease grace period of a leader that is cut off. */
    val cancelS: Double get() = 2 * leaseS + CANCEL_MARGIN_S

    private companion object {
        const val CANCEL_MARGIN_S = 4.0
    }
}

/**
 * Controllers as real processes on the loopback interface, with stand-ins for the state service, the cloud, workers
 * and users. Everything but the controllers runs on one event loop.
 */
class SoakCluster(
    private val vertx: Vertx,
    private val scope: CoroutineScope,
    private val options: SoakOptions,
    private val folder: Path,
    val random: Random,
    val log: EventLog,
) : WorkerEnvironment {
    /** The contents of the state service, shared by all its stand-in servers. */
    val store = FakeStateStore()
    override val clocks = Clocks.SYSTEM
    override val members = List(options.controllers) { "node-$it" }
    private val settings = Settings.parse(SoakSettings(members.first(), 1, 1, emptyList(), 1, 1, options).text())
    override val limits = settings.workers
    override val observer = ProtocolObserver(settings, clocks)
    override val gangs = GangEmulator(clocks, limits)
    private val http = Http(vertx, PoolSettings("soak", maxConnections = options.workers + USER_CONNECTIONS))

    /** The stand-in cloud with its machines and their workers. */
    val cloud = CloudServer(vertx, scope, this, options.workers, random, log)

    /** The controllers by member name. */
    val membersByName = LinkedHashMap<String, SoakMember>()

    /** The users; each request goes to a controller drawn at random. */
    val users = UserEmulator(observer, clocks, scope) { membersByName.values.random(random).port }
    override var duplicateReportDelay: Duration? = null

    /** Starts the stand-in servers and the controllers. */
    suspend fun start() {
        observer.maxCommandDelay = options.maxCommandDelay
        observer.refresh = { cloud.workers.forEach { it.expireLeaseIfDue() } }
        val cloudPort = cloud.listen()
        val bindPorts = Ports.allocate(members.size)
        val meshPorts = Ports.allocate(members.size)
        val links = meshPorts.map { PeerLink(vertx, it) }
        val linkPorts = links.map { it.listen() }
        members.forEachIndexed { i, member ->
            val state = StateServer(vertx, scope, store, random)
            val peers = members.indices.filter { it != i }.map { members[it] to linkPorts[it] }
            val text = SoakSettings(
                member,
                bindPorts[i],
                meshPorts[i],
                peers,
                cloudPort,
                state.listen(),
                options,
            ).text()
            val file = Files.writeString(folder.resolve("$member.toml"), text)
            val process = ControllerProcess(member, options.program, file, options.logLevel, log)
            val port = HttpControllerPort(http, Address(HttpStandIn.LOOPBACK, bindPorts[i]))
            membersByName[member] = SoakMember(process, state, links[i], port)
        }
        membersByName.values.forEach { it.process.start() }
        scope.launch { superviseProcesses() }
    }

    /** Restarts processes that ended without being killed by the soak, after a delay. */
    private suspend fun superviseProcesses() {
        while (true) {
            delay(SUPERVISION_INTERVAL)
            for (member in membersByName.values) {
                val status = member.process.unexpectedExitStatus ?: continue
                log.add(member.process.member, "process ended with status $status")
                unexpectedExits += "${member.process.member} with status $status"
                delay(RESTART_DELAY)
                member.process.start()
            }
        }
    }

    /** The member and exit status of each process that ended without being killed by the soak. */
    val unexpectedExits = ArrayList<String>()

    /** Kills all controller processes. */
    fun killAll() = membersByName.values.forEach { it.process.kill() }

    /** The controller that the leader record in the state service names. */
    val leader: SoakMember? get() = membersByName[store.get(Keys.LEADER)?.data?.get("member")]

    override fun controller(member: String) = membersByName[member]?.takeIf { it.process.alive }?.port

    override fun controllers() = membersByName.values.filter { it.process.alive }.map { it.port }

    override fun taskTime(spec: JobSpec, index: Int): Duration = spec.estimate *
        (MIN_ESTIMATE_SHARE + (spec.id.hashCode() + index).mod(VARIATION_STEPS) / VARIATION_STEPS.toDouble())

    override fun fetchTime(spec: JobSpec): Duration =
        MAX_FETCH_TIME * ((spec.image.hashCode()).mod(VARIATION_STEPS) / VARIATION_STEPS.toDouble())

    override fun recordEvent(host: String, what: String) = log.add(host, what)

    private companion object {
        const val USER_CONNECTIONS = 50
        const val MIN_ESTIMATE_SHARE = 0.5
        const val VARIATION_STEPS = 16
        val MAX_FETCH_TIME = 600.milliseconds
        val SUPERVISION_INTERVAL = 500.milliseconds
        val RESTART_DELAY = 2.seconds
    }
}

/** The settings of one controller. Leases are short, so a run covers many expirations in little time. */
class SoakSettings(
    private val member: String,
    private val bindPort: Int,
    private val meshPort: Int,
    private val peers: List<Pair<String, Int>>,
    private val cloudPort: Int,
    private val statePort: Int,
    options: SoakOptions,
) {
    private val times = options.times

    /** One connection per worker, and spare ones for users and peers. */
    private val connections = maxOf(MIN_CONNECTIONS, options.workers * 3 / 2)

    /** The text of the settings file. */
    fun text(): String = """
        member = "$member"
        area = "a"
        bind = "${HttpStandIn.LOOPBACK}:$bindPort"
        mesh_addr = "${HttpStandIn.LOOPBACK}:$meshPort"
        ${peers.joinToString("\n") { (name, port) -> peer(name, port) }}
        [outside]
        cloud = "${HttpStandIn.LOOPBACK}:$cloudPort"
        state = "${HttpStandIn.LOOPBACK}:$statePort"
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

    private fun peer(name: String, port: Int) =
        "[[seeds]]\nmember = \"$name\"\narea = \"a\"\naddress = \"${HttpStandIn.LOOPBACK}:$port\""

    private fun team(name: String, cpus: Double?, gpus: Double?) =
        "[[deployment.teams]]\nname = \"$name\"\ncpus = 0.0\ncpus_max = ${cpus ?: 0.0}\ngpus = 0.0\ngpus_max = ${gpus ?: 0.0}"

    private companion object {
        const val MIN_CONNECTIONS = 1800
    }
}
