package topazvale.fake

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import topazvale.Controller
import topazvale.ControllerRuntime
import topazvale.Samples
import topazvale.api.ApiResponse
import topazvale.cloud.CloudService
import topazvale.cloud.RentalOutcome
import topazvale.config.Address
import topazvale.config.Peer
import topazvale.config.Settings
import topazvale.config.SettingsTest
import topazvale.emulator.ControllerPort
import topazvale.emulator.GangEmulator
import topazvale.emulator.ProtocolObserver
import topazvale.emulator.UserEmulator
import topazvale.emulator.WorkerEmulator
import topazvale.emulator.WorkerEnvironment
import topazvale.mesh.PeerClient
import topazvale.model.Clocks
import topazvale.model.CloudStatus
import topazvale.model.DirectCommand
import topazvale.model.JobSpec
import topazvale.model.ListedMachine
import topazvale.model.Market
import topazvale.net.HttpStatus
import topazvale.net.Sockets
import topazvale.reconcile.CommandResponse
import topazvale.reconcile.ServiceClients
import topazvale.reconcile.WorkerClient
import topazvale.supervision.SupervisedScope
import topazvale.wire.WorkerWire
import kotlin.random.Random
import kotlin.time.AbstractLongTimeSource
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Controllers with a fake state service, a fake cloud, and emulated workers and users, in virtual time. Each violation
 * of the protocol's rules is added to [violations] at the moment at which it occurs. The checks rely only on what
 * workers run and on the responses that users receive.
 */
class FakeCluster(
    private val test: TestScope,
    private val members: List<String> = listOf("node-0", "node-1", "node-2"),
    settingsText: String = SettingsTest.TEXT,
) {
    val clocks = Clocks(
        test.testScheduler.timeSource,
        object : Clock {
            override fun now(): Instant =
                Instant.fromEpochMilliseconds(1_700_000_000_000 + test.testScheduler.currentTime)
        },
    )
    private val scope = test.backgroundScope
    val store = FakeStateStore(clocks)
    val settings = Settings.parse(settingsText).let { parsed ->
        parsed.copy(
            peers = members.mapIndexed { i, member -> Peer(member, "a", Address("127.0.0.1", 9000 + i)) },
            initialSize = members.size,
        )
    }

    /** Checks the rules by what workers run and by the responses that users receive. */
    val observer = ProtocolObserver(settings, clocks)
    val violations: List<String> get() = observer.violations.map { it.toString() }
    val jobs get() = observer.jobs
    val running get() = observer.running
    val starts get() = observer.starts
    private val random = Random(5)
    private val users = UserEmulator(observer, clocks, scope) { randomMember() }

    /** Supplies the delay of a copy of each answered request, whoever sent it; null: no copy. */
    var requestCopyDelay: () -> Duration? = { null }
        set(value) {
            field = value
            users.copyDelay = value
        }

    /** A duplicate of each report arrives at every controller after this delay; null: no duplicates. */
    var duplicateReportDelay: Duration? = null

    /** Supplies the clock rate of each new worker. */
    var clockRate: () -> Double = { 1.0 }
    var taskTime: (JobSpec, Int) -> Duration = { _, _ -> 20.seconds }

    inner class Member(val name: String) : ControllerPort {
        /** The injected exception for a call of this controller, by the call's name; null lets the call pass. */
        var failure: (String) -> Throwable? = { null }
        val state = FakeStateService(store).also {
            it.delayedWriteScope = scope
            it.failure = { call -> failure(call) }
            it.copyDelay = { requestCopyDelay() }
        }
        private val memberScope = SupervisedScope(scope.coroutineContext, ::endFatally)
        var cutFromPeers = false
        var cutFromWorkers = false
        private val runtime =
            ControllerRuntime(
                memberScope,
                Sockets(1800, fixedConnections = 0),
                memberClocks(),
                Random(members.indexOf(name) + 31 * ++incarnations),
            )
        val controller: Controller =
            Controller(
                settings.copy(member = name),
                ServiceClients(state, cloudClient(), workerClient()),
                peerClient(),
                runtime,
            )
                .also { it.start() }

        /** Ends the process after a fatal failure and restarts it after a delay, as a process supervisor does. */
        private fun endFatally(cause: Throwable) {
            fatalFailures += cause
            stop()
            scope.launch {
                delay(RESTART_DELAY)
                if (name !in nodes) start(name)
            }
        }

        private fun throwIfInjected(call: String) {
            failure(call)?.let { throw it }
        }

        /** The length of a process pause at the next wall-clock read, for example within a planning pass. */
        var nextPause = Duration.ZERO
        private var totalPause = Duration.ZERO

        private fun memberClocks() = Clocks(
            object : AbstractLongTimeSource(DurationUnit.NANOSECONDS) {
                override fun read() = (test.testScheduler.currentTime.milliseconds + totalPause).inWholeNanoseconds
            },
            object : Clock {
                override fun now(): Instant {
                    throwIfInjected("now")
                    totalPause += nextPause
                    nextPause = Duration.ZERO
                    return clocks.now()
                }
            },
        )

        private fun cloudClient() = object : CloudService by cloud {
            override suspend fun listMachineTypes() = cloud.listMachineTypes().also { throwIfInjected("types") }

            override suspend fun listMachines() = cloud.listMachines().also { throwIfInjected("machines") }
        }

        private fun workerClient() = object : WorkerClient {
            override suspend fun command(endpoint: String, command: DirectCommand): CommandResponse? {
                throwIfInjected("command")
                val worker = workers["n-" + endpoint.substringAfterLast(':')]
                val isReachable = !cutFromWorkers && worker != null && worker.faults.canReach(name)
                if (!isReachable) return null.also { delay(2.seconds) }
                val response = worker.command(command) ?: return null
                return CommandResponse(response.status == HttpStatus.OK, WorkerWire.decodeReport(response.report))
            }
        }

        private fun peerClient() = object : PeerClient {
            override suspend fun fetchStatus(peer: Peer): ByteArray? {
                throwIfInjected("peer")
                val other = nodes[peer.member]
                if (cutFromPeers || other == null || other.cutFromPeers) return null.also { delay(1.seconds) }
                delay(2.milliseconds)
                return other.controller.peerStatus().encode()
            }
        }

        override suspend fun report(body: ByteArray): ApiResponse? {
            if (cutFromWorkers || nodes[name] !== this) return null
            return controller.reports.report(WorkerWire.decodeReport(body))
        }

        override suspend fun submit(body: ByteArray) = controller.submissions.submit(body)

        override suspend fun poll(id: String) = controller.submissions.poll(id)

        override suspend fun cancel(id: String) = controller.submissions.cancel(id)

        fun stop() {
            nodes.remove(name)
            controller.close()
            memberScope.cancel()
        }
    }

    private val workerEnvironment = object : WorkerEnvironment {
        override val clocks = this@FakeCluster.clocks
        override val limits = settings.workers
        override val observer = this@FakeCluster.observer
        override val gangs = GangEmulator(clocks, limits)
        override val members = this@FakeCluster.members
        override val duplicateReportDelay get() = this@FakeCluster.duplicateReportDelay

        override fun controller(member: String) = nodes[member]

        override fun controllers() = nodes.values.toList()

        override fun taskTime(spec: JobSpec, index: Int) = this@FakeCluster.taskTime(spec, index)

        override fun fetchTime(spec: JobSpec) = Duration.ZERO
    }

    /** The failures for which processes have ended by themselves. */
    val fatalFailures = ArrayList<Throwable>()
    private var incarnations = 0
    val nodes = LinkedHashMap<String, Member>()
    val workers = LinkedHashMap<String, WorkerEmulator>()

    /** The number of machines that may be rented at a time; the cloud refuses more. */
    var capacity = 40

    /** The zones in which the cloud rents no further machines. */
    var zonesWithoutCapacity: Set<String> = emptySet()
    private var rentedCount = 0
    private val bookings = HashMap<String, List<String>>()

    val cloud = object : CloudService {
        override suspend fun listMachineTypes() = Samples.types.values.toList().also { delay(20.milliseconds) }

        override suspend fun rent(
            name: String,
            market: Market,
            count: Int,
            precondition: () -> Boolean,
        ): RentalOutcome {
            delay(100.milliseconds)
            deliverCopyLater { book(name, market, count) }
            return book(name, market, count)
        }

        private fun book(name: String, market: Market, count: Int): RentalOutcome {
            bookings[name]?.let { return RentalOutcome.Rented(it) }
            if (market.zone in zonesWithoutCapacity) return RentalOutcome.NoCapacity
            val hosts = (1..minOf(count, capacity - workers.size)).map { "n-%04d".format(++rentedCount) }
            if (hosts.isEmpty()) return RentalOutcome.NoCapacity
            hosts.forEach { workers[it] = worker(it, market).also(WorkerEmulator::start) }
            bookings[name] = hosts
            return RentalOutcome.Rented(hosts)
        }

        override suspend fun returnMachines(hosts: List<String>, precondition: () -> Boolean): Boolean {
            delay(100.milliseconds)
            deliverCopyLater { removeMachines(hosts) }
            removeMachines(hosts)
            return true
        }

        private fun removeMachines(hosts: List<String>) = hosts.forEach { workers.remove(it)?.terminate() }

        override suspend fun listMachines(): List<ListedMachine> {
            delay(100.milliseconds)
            return workers.values.map {
                ListedMachine(it.host, it.endpoint, it.market, CloudStatus.RUNNING, it.rentedAt.elapsedNow())
            }
        }
    }

    private fun worker(host: String, market: Market): WorkerEmulator {
        val endpoint = "127.0.0.1:" + host.removePrefix("n-")
        return WorkerEmulator(host, endpoint, market, workerEnvironment, scope, clockRate()).also {
            it.faults.commandCopyDelay = { requestCopyDelay() }
        }
    }

    private fun deliverCopyLater(request: () -> Unit) {
        val copyDelay = requestCopyDelay() ?: return
        scope.launch {
            delay(copyDelay)
            request()
        }
    }

    fun runningCount(id: String) = observer.runningCount(id)

    private fun now() = test.testScheduler.currentTime.milliseconds

    private suspend fun randomMember(): Member {
        while (nodes.isEmpty()) delay(50.milliseconds)
        return nodes.values.random(random)
    }

    init {
        members.forEach(::start)
        scope.launch {
            while (true) {
                delay(100.milliseconds)
                observer.checkCancellations()
            }
        }
    }

    fun start(name: String) {
        nodes[name] = Member(name)
    }

    /** The controller that holds the leader key in the state service. */
    val leader: Member? get() = nodes[store.get(topazvale.store.Keys.LEADER)?.data?.get("member")]

    val followers: List<Member> get() = nodes.values.filter { it !== leader }

    /** Submits the job as a user, with retries, through [via] or through any controller if null. */
    suspend fun submit(spec: JobSpec, via: Member? = null): Int = users.submit(spec, via)

    suspend fun poll(id: String, via: Member? = null): String? = users.poll(id, via)

    /** Requests the cancellation once; null if no conclusive response came. */
    suspend fun tryCancel(id: String, via: Member): String? = users.tryCancel(id, via)

    suspend fun cancel(id: String, via: Member? = null): String = users.cancel(id, via)

    /** Waits until [condition] holds; fails after [within] with [description]. */
    suspend fun awaitCondition(within: Duration, description: String, condition: suspend () -> Boolean) {
        val end = clocks.mark() + within
        while (!condition()) {
            check(end.hasNotPassedNow()) {
                "not within $within: $description (at ${now()}; violations so far: $violations)"
            }
            delay(100.milliseconds)
        }
    }

    suspend fun awaitRunning(id: String, tasks: Int, within: Duration = 60.seconds) =
        awaitCondition(within, "$tasks tasks of $id run") { runningCount(id) >= tasks }

    suspend fun awaitDone(id: String, within: Duration = 200.seconds) = awaitCondition(within, "$id is done") {
        poll(id) ==
            "done"
    }

    private companion object {
        val RESTART_DELAY = 3.seconds
    }
}
