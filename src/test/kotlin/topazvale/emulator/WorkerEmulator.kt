package topazvale.emulator

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import topazvale.api.ApiResponse
import topazvale.model.JobSpec
import topazvale.model.Market
import topazvale.model.Order
import topazvale.model.Start
import topazvale.net.HttpStatus
import topazvale.wire.Cbor
import topazvale.wire.JobWire
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A worker by the protocol: its lease, its sessions, tokens, and the one report that it has in flight.
 *
 * [clockRate]: how fast its steady clock runs; the protocol allows 0.05% either way.
 */
class WorkerEmulator(
    val host: String,
    val endpoint: String,
    val market: Market,
    private val world: WorkerEnvironment,
    private val scope: CoroutineScope,
    private val clockRate: Double = 1.0,
) {
    private class Task(val attempt: Long, val onFrom: ComparableTimeMark?, val ends: ComparableTimeMark?) {
        var status = if (onFrom == null) "exited" else "pulling"
        var cause: String? = null
        val isOn get() = status == "running"
        val isThere get() = status != "exited"
    }

    private class Key(val task: String, val attempt: Long) {
        override fun equals(other: Any?) = other is Key && other.task == task && other.attempt == attempt

        override fun hashCode() = task.hashCode() + attempt.hashCode()
    }

    private val clocks = world.clocks
    private val observer = world.observer
    private val lease = world.limits.lease / clockRate
    private val reportInterval = world.limits.reportInterval / clockRate
    private val answerLimit = ANSWER_LIMIT / clockRate

    /** When its machine was rented. */
    val rentedAt: ComparableTimeMark = clocks.mark()

    /** What goes wrong with its messages. */
    val faults = WorkerFaults()
    private val tasks = LinkedHashMap<Key, Task>()
    private var alive = true
    private var token = 0L
    private var session = 1L
    private var sequence = 0L
    private var leaseFrom: ComparableTimeMark = clocks.mark()
    private var at = 0
    private var delayedByHang = ArrayList<() -> Unit>()
    private var changed = false
    private var hangsUntil: ComparableTimeMark? = null
    private val hangs get() = hangsUntil?.hasNotPassedNow() == true

    /** The tasks that are on the machine. */
    val runningTasks: List<String> get() = tasks.filterValues { it.isOn }.keys.map { it.task }

    /** Begins to report and to live. */
    fun start() {
        scope.launch { reporting() }
        scope.launch { living() }
    }

    /** Stands still for that long. */
    fun pause(span: Duration) {
        hangsUntil = clocks.mark() + span
    }

    /** The machine is gone, and all that was on it. */
    fun terminate() {
        alive = false
        for ((key, task) in tasks) if (task.isOn) observer.recordStop(host, key.task)
        tasks.clear()
    }

    /** The task ends by itself. */
    fun exitTask(task: String, cause: String) {
        for ((key, t) in tasks) if (key.task == task && t.isThere) exit(key, t, cause)
    }

    private suspend fun living() {
        while (alive) {
            delay(TICK)
            // A machine that stands still may go on within its lease, and not after it.
            expireLeaseIfDue()
            if (hangs) continue
            delayedByHang.toList().also { delayedByHang.clear() }.forEach { it() }
            for ((key, task) in tasks.entries.map { it.key to it.value }) if (tasks[key] === task) advance(key, task)
        }
    }

    private fun advance(key: Key, task: Task) {
        if (task.status == "pulling" && task.onFrom?.hasPassedNow() == true) begin(key, task)
        if (task.isOn && task.ends?.hasPassedNow() == true) exit(key, task, "done")
    }

    private fun begin(key: Key, task: Task) {
        changed = true
        val spec = observer.jobs.getValue(JobWire.parseTaskId(key.task)!!.job)
        observer.recordAttempt(host, key.task)
        if (observer.hasResult(key.task) && !spec.isService) {
            task.status = "exited"
            task.cause = "done"
            return
        }
        task.status = "running"
        world.recordEvent(host, "${key.task} attempt ${key.attempt} is on")
        observer.recordStart(host, market, key.task, spec)
    }

    /** Ends the session if its lease is over; called by those who judge what runs, as a busy process may be late. */
    fun expireLeaseIfDue() {
        if (alive && leaseFrom.elapsedNow() > lease) lapse()
    }

    private fun lapse() {
        for ((key, task) in tasks) {
            if (task.isThere) world.recordEvent(host, "${key.task} attempt ${key.attempt} is killed, the lease is over")
        }
        for ((key, task) in tasks) if (task.isOn) observer.recordStop(host, key.task)
        tasks.clear()
        session++
        leaseFrom = clocks.mark()
        changed = true
    }

    private fun report(): ByteArray = Cbor.encode(
        mapOf(
            "host" to host, "endpoint" to endpoint, "flavor" to market.type, "hall" to market.zone,
            "standby" to market.spot,
            "shift" to session, "tick" to ++sequence, "epoch" to token,
            "steps" to tasks.map { (key, t) ->
                mapOf("step" to key.task, "try" to t.attempt, "status" to t.status, "cause" to t.cause)
            },
        ),
    )

    private fun execute(from: Long, orders: List<Order>) {
        if (from > token) changed = true
        token = from
        for (order in orders) {
            world.recordEvent(host, "told $order under token $from in session $session")
            when (order) {
                is Order.Run -> run(key(order.start))
                is Order.Stop -> key(order.start).let { key -> tasks[key]?.let { if (it.isThere) stop(key, it) } }
                is Order.Clear -> tasks.remove(key(order.start))
            }
        }
    }

    private fun key(start: Start) = Key(start.task.toString(), start.attempt)

    private fun stop(key: Key, task: Task) = exit(key, task, "stopped")

    private fun run(key: Key) {
        if (key in tasks) return
        changed = true
        val id = JobWire.parseTaskId(key.task)!!
        val spec = observer.jobs[id.job]
        val busy = tasks.any { (other, t) -> other.task == key.task && t.isThere }
        if (spec == null || busy) {
            tasks[key] = Task(key.attempt, null, null).also { it.cause = if (spec == null) "no_such" else "busy" }
            return
        }
        val from = clocks.mark() + world.fetchTime(spec)
        val task = Task(key.attempt, from, if (spec.isService) null else from + world.taskTime(spec, id.index))
        tasks[key] = task
        if (world.fetchTime(spec) == Duration.ZERO) begin(key, task)
    }

    private fun exit(key: Key, task: Task, cause: String) {
        if (task.isOn) observer.recordStop(host, key.task)
        task.status = "exited"
        task.cause = cause
        changed = true
        world.recordEvent(host, "${key.task} attempt ${key.attempt} exits: $cause")
        if (cause == "done") observer.recordCompletion(key.task)
    }

    /** `POST /commands`; null: no answer comes. */
    suspend fun command(from: Long, of: Long, orders: List<Order>): DirectAnswer? {
        delay(faults.commandDelay())
        if (faults.dropsInbound || !alive) return null.also { delay(GIVEN_UP) }
        fun act(): DirectAnswer {
            expireLeaseIfDue()
            val accepted = from >= token && of == session
            if (accepted) execute(from, orders)
            return DirectAnswer(if (accepted) HttpStatus.OK else HttpStatus.CONFLICT, report())
        }
        faults.unansweredCommandDelay?.let { wait ->
            scope.launch {
                delay(wait)
                if (alive) act()
            }
            return null.also { delay(GIVEN_UP) }
        }
        if (hangs) {
            delayedByHang += { act() }
            return null.also { delay(GIVEN_UP) }
        }
        val answer = act()
        delay(faults.commandResponseDelay())
        return answer
    }

    private suspend fun reporting() {
        delay((rentedAt.elapsedNow() + FIRST_REPORT))
        while (alive) {
            if (!hangs) beat()
            var waited = Duration.ZERO
            while (alive && waited < reportInterval && !(changed && waited >= LEAST_BETWEEN_REPORTS)) {
                delay(TICK)
                waited += TICK
            }
        }
    }

    private suspend fun beat() {
        changed = false
        val sent = clocks.mark()
        val inSession = session
        val body = report()
        val member = world.members[at % world.members.size]
        copy(body)
        val held = hold(body)
        val controller = world.controller(member)
        if (faults.dropsReports || held || controller == null || !faults.canReach(member)) {
            delay(if (controller == null) REFUSED_AFTER else answerLimit)
            at++
            return delay(NEXT_NODE_AFTER)
        }
        val answer = exchange(controller, body)
        // An answer that comes while the machine stands still is read when it goes on, if it is not too late.
        while (alive && hangs) delay(HANG_TICK)
        if (!alive || inSession != session) return
        if (leaseFrom.elapsedNow() > lease) return lapse()
        if (answer == null || sent.elapsedNow() > answerLimit) {
            at++
            return delay(NEXT_NODE_AFTER)
        }
        take(answer, sent)
    }

    /** The report goes on its way even when the worker waits for its answer no more. */
    private suspend fun exchange(controller: ControllerPort, body: ByteArray): ApiResponse? {
        val answer = scope.async {
            delay(faults.reportDelay())
            controller.report(body).also { delay(faults.reportResponseDelay()) }
        }
        val arrived = withTimeoutOrNull(answerLimit) { answer.await() }
        if (!faults.dropsInbound) return arrived
        delay(answerLimit)
        return null
    }

    private fun copy(body: ByteArray) {
        val wait = world.duplicateReportDelay ?: return
        scope.launch {
            delay(wait)
            world.controllers().forEach { it.report(body) }
        }
    }

    private fun hold(body: ByteArray): Boolean {
        val wait = faults.nextReportDelay ?: return false
        faults.nextReportDelay = null
        scope.launch {
            delay(wait)
            faults.delayedReportArrived = true
            world.controllers().forEach { it.report(body) }
        }
        return true
    }

    private suspend fun take(answer: ApiResponse, sent: ComparableTimeMark) {
        val map = Cbor.decodeMap(answer.body)
        when (answer.status) {
            HttpStatus.OK -> {
                if ((map["epoch"] as Long) < token) return
                leaseFrom = sent
                execute(map["epoch"] as Long, (map["orders"] as List<*>).map(Orders::decode))
            }

            HttpStatus.MISDIRECTED -> {
                val next = world.members.indexOf(map["supervisor"])
                if (next >= 0 && next != at % world.members.size) at = next else at++.also { delay(NEXT_NODE_AFTER) }
            }

            else -> at++.also { delay(NEXT_NODE_AFTER) }
        }
    }

    private companion object {
        val TICK = 50.milliseconds
        val HANG_TICK = 10.milliseconds
        val FIRST_REPORT = 1.seconds
        val LEAST_BETWEEN_REPORTS = 500.milliseconds
        val ANSWER_LIMIT = 4.seconds
        val NEXT_NODE_AFTER = 1.seconds
        val REFUSED_AFTER = 50.milliseconds

        /** After which a controller waits no more for the answer to a direct command. */
        val GIVEN_UP = 2.seconds
    }
}
