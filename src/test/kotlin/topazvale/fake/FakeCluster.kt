package topazvale.fake

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import topazvale.Controller
import topazvale.Runtime
import topazvale.Samples
import topazvale.api.Answer
import topazvale.cloud.CloudService
import topazvale.cloud.Rental
import topazvale.config.Address
import topazvale.config.Seed
import topazvale.config.Settings
import topazvale.config.SettingsTest
import topazvale.mesh.PeerClient
import topazvale.model.Clocks
import topazvale.model.CloudStatus
import topazvale.model.JobSpec
import topazvale.model.ListedMachine
import topazvale.model.Market
import topazvale.model.Order
import topazvale.model.Report
import topazvale.net.Sockets
import topazvale.reconcile.ServiceClients
import topazvale.reconcile.WorkerClient
import topazvale.wire.Cbor
import topazvale.wire.JobWire
import topazvale.wire.WorkerWire
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Controllers, state service, cloud, workers and users in virtual time. Whoever breaks a rule of the protocol is noted
 * in [broken] at the moment at which it happens, by what the workers do and what the users were told alone.
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
    val settings = Settings.parse(settingsText).let { s ->
        s.copy(seeds = members.mapIndexed { i, m -> Seed(m, "a", Address("127.0.0.1", 9000 + i)) }, size = members.size)
    }
    private val lease = settings.workers.lease
    private val cancel = settings.workers.cancel
    val broken = ArrayList<String>()
    var taskTime: (JobSpec, Int) -> Duration = { _, _ -> 20.seconds }

    inner class Member(val name: String) {
        val state = FakeStateService(store).also { it.later = scope }
        private val own = CoroutineScope(scope.coroutineContext + SupervisorJob(scope.coroutineContext.job))
        var cutFromPeers = false
        var cutFromWorkers = false
        private val runtime =
            Runtime(own, Sockets(1800, fixed = 0), clocks, Random(members.indexOf(name) + 31 * ++lives))
        val controller: Controller =
            Controller(settings.copy(member = name), ServiceClients(state, cloud, client()), peers(), runtime)
                .also { it.start() }

        private fun client() = object : WorkerClient {
            override suspend fun command(endpoint: String, token: Long, session: Long, orders: List<Order>): Report? {
                val worker = workers["n-" + endpoint.substringAfterLast(':')]
                if (cutFromWorkers || worker == null || !worker.reaches(name)) return null.also { delay(2.seconds) }
                return worker.command(token, session, orders)
            }
        }

        private fun peers() = object : PeerClient {
            override suspend fun status(of: Seed): ByteArray? {
                val other = nodes[of.member]
                if (cutFromPeers || other == null || other.cutFromPeers) return null.also { delay(1.seconds) }
                delay(2.milliseconds)
                return other.controller.peerStatus().bytes()
            }
        }

        fun end() {
            nodes.remove(name)
            controller.close()
            own.cancel()
        }
    }

    private var lives = 0
    val nodes = LinkedHashMap<String, Member>()
    val workers = LinkedHashMap<String, Worker>()

    /** Machines that the cloud gives in all; the rest is refused. */
    var capacity = 40
    private var rented = 0

    val cloud = object : CloudService {
        override suspend fun types() = Samples.types.values.toList().also { delay(20.milliseconds) }

        override suspend fun rent(name: String, market: Market, count: Int, wanted: () -> Boolean): Rental {
            delay(100.milliseconds)
            val hosts = (1..minOf(count, capacity - workers.size)).map { "n-%04d".format(++rented) }
            if (hosts.isEmpty()) return Rental.NoCapacity
            hosts.forEach { workers[it] = Worker(it, market) }
            return Rental.Rented(hosts)
        }

        override suspend fun release(hosts: List<String>, wanted: () -> Boolean): Boolean {
            delay(100.milliseconds)
            hosts.forEach { workers.remove(it)?.gone() }
            return true
        }

        override suspend fun list(): List<ListedMachine> {
            delay(100.milliseconds)
            return workers.values.map {
                ListedMachine(it.host, it.endpoint, it.market, CloudStatus.RUNNING, it.began.elapsedNow())
            }
        }
    }

    class Task(
        val attempt: Long,
        val ends: ComparableTimeMark?,
        var status: String = "running",
        var cause: String? = null,
    )

    /** A worker by the protocol: its lease, its sessions, tokens, and the one report it has in flight. */
    inner class Worker(val host: String, val market: Market) {
        val endpoint = "127.0.0.1:" + host.removePrefix("n-")
        val began = clocks.mark()
        private var alive = true
        private val tasks = LinkedHashMap<Pair<String, Long>, Task>()
        private var token = 0L
        private var session = 1L
        private var tick = 0L
        private var held: ComparableTimeMark = clocks.mark()
        private var at = 0
        private var waiting = ArrayList<() -> Unit>()
        private var changed = false

        /** Its reports arrive, and nothing reaches it. */
        var deaf = false

        /** It reaches no controller, while direct commands reach it. */
        var mute = false

        /** Which nodes it can be in touch with. */
        var reaches: (String) -> Boolean = { true }

        /** The next report is given up by the worker and arrives only so much later. */
        var holdNext: Duration? = null

        var heldArrived = false
            private set

        /** Direct commands get no answer and are carried out so much later. */
        var lateCommands: Duration? = null
        private var hung: ComparableTimeMark? = null
        private val hangs get() = hung?.hasNotPassedNow() == true

        init {
            scope.launch { reporting() }
            scope.launch { living() }
        }

        val on: List<String> get() = tasks.filterValues { it.status == "running" }.keys.map { it.first }

        fun hang(span: Duration) {
            hung = clocks.mark() + span
        }

        fun gone() {
            alive = false
            for (key in tasks.keys) left(key.first)
            tasks.clear()
        }

        private suspend fun living() {
            while (alive) {
                delay(50.milliseconds)
                // A machine that stands still may go on within its lease, and not after it.
                if (held.elapsedNow() > lease) lapse()
                if (hangs) continue
                waiting.toList().also { waiting.clear() }.forEach { it() }
                for ((key, task) in tasks) {
                    if (task.status == "running" &&
                        task.ends?.hasPassedNow() == true
                    ) {
                        exit(key, task, "done")
                    }
                }
            }
        }

        private fun lapse() {
            for (key in tasks.filterValues { it.status == "running" }.keys) left(key.first)
            tasks.clear()
            session++
            held = clocks.mark()
            changed = true
        }

        private fun report(): ByteArray = Cbor.encode(
            mapOf(
                "host" to host, "endpoint" to endpoint, "flavor" to market.type, "hall" to market.zone,
                "standby" to market.spot,
                "shift" to session, "tick" to ++tick, "epoch" to token,
                "steps" to tasks.map { (key, t) ->
                    mapOf("step" to key.first, "try" to t.attempt, "status" to t.status, "cause" to t.cause)
                },
            ),
        )

        private fun execute(from: Long, orders: List<Order>) {
            if (from > token) changed = true
            token = from
            for (order in orders) {
                val key = when (order) {
                    is Order.Run -> order.start
                    is Order.Stop -> order.start
                    is Order.Clear -> order.start
                }.let { it.task.toString() to it.attempt }
                when (order) {
                    is Order.Run -> if (key !in tasks) run(key)
                    is Order.Stop -> tasks[key]?.let { if (it.status == "running") exit(key, it, "stopped") }
                    is Order.Clear -> tasks.remove(key)
                }
            }
        }

        private fun run(key: Pair<String, Long>) {
            changed = true
            val id = JobWire.taskId(key.first)!!
            val spec = jobs[id.job]
            if (spec == null || tasks.any { (other, t) -> other.first == key.first && t.status == "running" }) {
                tasks[key] = Task(key.second, null, "exited", if (spec == null) "no_such" else "busy")
                return
            }
            if (key.first in results && !spec.isService) {
                tasks[key] = Task(key.second, null, "exited", "done")
                return
            }
            tasks[key] = Task(key.second, if (spec.isService) null else clocks.mark() + taskTime(spec, id.index))
            started(this, key.first, spec)
        }

        /** A task of a service ends by itself, or one of any job fails. */
        fun end(task: String, cause: String) {
            for ((key, t) in tasks) if (key.first == task && t.status == "running") exit(key, t, cause)
        }

        private fun exit(key: Pair<String, Long>, task: Task, cause: String) {
            task.status = "exited"
            task.cause = cause
            changed = true
            if (cause == "done") results += key.first
            left(key.first)
        }

        suspend fun command(from: Long, of: Long, orders: List<Order>): Report? {
            delay(3.milliseconds)
            if (deaf || !alive) return null.also { delay(2.seconds) }
            fun act(): ByteArray {
                if (from >= token && of == session) execute(from, orders)
                return report()
            }
            lateCommands?.let { wait ->
                scope.launch {
                    delay(wait)
                    act()
                }
                return null.also { delay(2.seconds) }
            }
            if (hangs) {
                waiting += { act() }
                return null.also { delay(2.seconds) }
            }
            val report = act()
            delay(3.milliseconds)
            return WorkerWire.report(report)
        }

        private suspend fun reporting() {
            delay((began.elapsedNow() + 1.seconds))
            while (alive) {
                if (!hangs) beat()
                var waited = Duration.ZERO
                while (alive && waited < settings.workers.report && !(changed && waited >= 500.milliseconds)) {
                    delay(50.milliseconds)
                    waited += 50.milliseconds
                }
            }
        }

        private suspend fun beat() {
            changed = false
            val sent = clocks.mark()
            val inSession = session
            val body = report()
            val member = members[at % members.size]
            val node = nodes[member]
            copies?.let { wait ->
                scope.launch {
                    delay(wait)
                    nodes.values.toList().forEach {
                        if (!it.cutFromWorkers) it.controller.reports.report(WorkerWire.report(body))
                    }
                }
            }
            val hold = holdNext
            holdNext = null
            if (hold != null) {
                scope.launch {
                    delay(hold)
                    heldArrived = true
                    nodes.values.toList().forEach { it.controller.reports.report(WorkerWire.report(body)) }
                }
            }
            if (mute || hold != null || node == null || node.cutFromWorkers || !reaches(member)) {
                delay(if (node == null) 50.milliseconds else 4.seconds)
                at++
                return delay(1.seconds)
            }
            delay(3.milliseconds)
            val answer = node.controller.reports.report(WorkerWire.report(body))
            delay(3.milliseconds)
            if (deaf) {
                delay(4.seconds)
                at++
                return
            }
            // An answer that comes while the machine stands still is read when it goes on, if it is not too late.
            while (alive && hangs) delay(10.milliseconds)
            if (!alive || inSession != session || sent.elapsedNow() > 4.seconds) return
            if (held.elapsedNow() > lease) return lapse()
            take(answer, sent)
        }

        private suspend fun take(answer: Answer, sent: ComparableTimeMark) {
            val map = Cbor.decodeMap(answer.body)
            when (answer.status) {
                200 -> {
                    if ((map["epoch"] as Long) < token) return
                    held = sent
                    execute(map["epoch"] as Long, (map["orders"] as List<*>).map(::order))
                }

                421 -> {
                    val next = members.indexOf(map["supervisor"])
                    if (next >= 0 && next != at % members.size) at = next else at++.also { delay(1.seconds) }
                }

                else -> at++.also { delay(1.seconds) }
            }
        }

        private fun order(value: Any?): Order {
            val map = value as Map<*, *>
            val start = topazvale.model.Start(JobWire.taskId(map["step"] as String)!!, map["try"] as Long)
            return when (map["verb"]) {
                "run" -> Order.Run(start)
                "stop" -> Order.Stop(start, Duration.ZERO)
                else -> Order.Clear(start)
            }
        }
    }

    // What users know, and what is seen from outside.

    val jobs = HashMap<String, JobSpec>()
    private val results = HashSet<String>()
    private val told = HashMap<String, Pair<String, ComparableTimeMark>>()
    private val where = HashMap<String, MutableList<Worker>>()

    /** A copy of each report arrives at every node so much later. */
    var copies: Duration? = null
    var starts = 0
        private set

    private fun started(on: Worker, task: String, spec: JobSpec) {
        starts++
        val places = where.getOrPut(task) { ArrayList() }
        if (places.isNotEmpty()) {
            broken +=
                "ran_twice: $task on ${on.host} while on ${places.map { it.host }} at ${now()}"
        }
        places += on
        val others = where.filter { it.key.startsWith(spec.id + "/") }.flatMap { it.value }
        if (spec.oneZone &&
            others.any { it.market.zone != on.market.zone }
        ) {
            broken += "wrong_place: $task in ${on.market.zone}"
        }
        val type = Samples.types.getValue(on.market.type)
        if ((spec.zone != null && spec.zone != on.market.zone) || (spec.types != null && type.name !in spec.types!!)) {
            broken += "wrong_place: $task on ${on.market}"
        }
        if (spec.spread &&
            others.count { it.market.zone == on.market.zone } > (spec.tasks + 1) / 2
        ) {
            broken +=
                "wrong_place: $task crowds a zone"
        }
        withdrawnFor(spec.id)?.let {
            if (it >
                cancel
            ) {
                broken += "ran_cancelled: $task starts $it after its cancellation"
            }
        }
        val team = settings.teams.getValue(spec.team)
        var cpus = 0.0
        var gpus = 0.0
        for ((key, list) in where) {
            val s = jobs.getValue(key.substringBeforeLast('/'))
            if (s.team != spec.team) continue
            cpus += s.need.cpus * list.size
            gpus += s.need.gpus * list.size
        }
        if (cpus > (team.limitCpus ?: Double.MAX_VALUE) + 1e-6 || gpus > (team.limitGpus ?: Double.MAX_VALUE) + 1e-6) {
            broken += "quota: ${spec.team} uses $cpus, $gpus at ${now()}"
        }
    }

    private fun left(task: String) {
        val places = where[task] ?: return
        places.removeAt(0)
        if (places.isEmpty()) where -= task
    }

    private fun withdrawnFor(id: String) = told[id]?.takeIf { it.first == "withdrawn" }?.second?.elapsedNow()

    val running: Set<String> get() = where.keys.toSet()

    fun runningOf(id: String) = where.keys.count { it.startsWith("$id/") }

    private fun now() = test.testScheduler.currentTime.milliseconds

    init {
        members.forEach(::start)
        scope.launch {
            while (true) {
                delay(100.milliseconds)
                for (task in where.keys) {
                    val since = withdrawnFor(task.substringBeforeLast('/')) ?: continue
                    if (since > cancel) broken += "ran_cancelled: $task is there $since after its cancellation".take(90)
                }
            }
        }
    }

    fun start(name: String) {
        nodes[name] = Member(name)
    }

    /** The member that leads by the state service's word. */
    val leader: Member? get() = nodes[store.get(topazvale.store.Keys.LEADER)?.data?.get("member")]

    val followers: List<Member> get() = nodes.values.filter { it !== leader }

    private fun noted(id: String, answer: Answer): String? {
        val status = if (answer.status in 200..201) Cbor.decodeMap(answer.body)["status"] as String else null
        val before = told[id]?.first
        when {
            answer.status in setOf(400, 404, 422) && id in jobs ->
                broken +=
                    "forgotten: $id gets ${answer.status} at ${now()}"

            status != null && before in FINAL && status != before ->
                broken +=
                    "went_back: $id is $status after $before at ${now()}"

            status == "done" && jobs.getValue(id).let { s -> (0 until s.tasks).any { "$id/$it" !in results } } ->
                broken += "not_done: $id at ${now()}"
        }
        if (status in FINAL && before !in FINAL) told[id] = status!! to clocks.mark()
        return status
    }

    /** Through [via], or any node that takes it; asked again like a user does. */
    suspend fun submit(spec: JobSpec, via: Member? = null): Int {
        while (true) {
            val node = via ?: nodes.values.random(random)
            // Users upload the description before they submit.
            jobs.getOrPut(spec.id) { spec }
            val answer = node.controller.submissions.submit(Cbor.encode(JobWire.map(spec)))
            if (answer.status <
                429
            ) {
                return answer.status.also { if (it < 300) noted(spec.id, answer) else jobs.remove(spec.id) }
            }
            delay(1.seconds)
        }
    }

    suspend fun poll(id: String, via: Member? = null): String? =
        (via ?: nodes.values.random(random)).controller.submissions.poll(id).let {
            if (it.status <
                429
            ) {
                noted(id, it)
            } else {
                null
            }
        }

    /** One request; null without an answer that settles it. */
    suspend fun tryCancel(id: String, via: Member): String? =
        via.controller.submissions.cancel(id).let { if (it.status < 429) noted(id, it) else null }

    suspend fun cancel(id: String, via: Member? = null): String {
        while (true) {
            tryCancel(id, via ?: nodes.values.random(random))?.let { return it }
            delay(1.seconds)
        }
    }

    suspend fun until(within: Duration, what: String, look: suspend () -> Boolean) {
        val end = clocks.mark() + within
        while (!look()) {
            check(end.hasNotPassedNow()) { "not within $within: $what (at ${now()}; broken so far: $broken)" }
            delay(100.milliseconds)
        }
    }

    suspend fun untilRunning(id: String, tasks: Int, within: Duration = 60.seconds) =
        until(within, "$tasks tasks of $id run") { runningOf(id) >= tasks }

    suspend fun untilDone(id: String, within: Duration = 200.seconds) = until(within, "$id is done") {
        poll(id) ==
            "done"
    }

    private val random = Random(5)

    private companion object {
        val FINAL = setOf("done", "withdrawn")
    }
}
