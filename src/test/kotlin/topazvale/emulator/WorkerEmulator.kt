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
 * Emulates a worker of the protocol: its lease, sessions and tokens, and the single report that it has in flight.
 *
 * [clockRate] is the rate of its monotonic clock; the protocol allows a deviation of 0.05% in either direction.
 */
class WorkerEmulator(
    val host: String,
    val endpoint: String,
    val market: Market,
    private val environment: WorkerEnvironment,
    private val scope: CoroutineScope,
    private val clockRate: Double = 1.0,
) {
    private class Task(
        val attempt: Long,
        val runsFrom: ComparableTimeMark?,
        val endsAt: ComparableTimeMark?,
        val gang: JobSpec? = null,
    ) {
        var status = if (runsFrom == null) "exited" else "pulling"
        var cause: String? = null

        /** When a stopped task will have saved its progress; null unless it saves. */
        var savedAt: ComparableTimeMark? = null

        /** Whether the task has exited after it saved its progress. */
        var stored = false
        val isRunning get() = status == "running"
        val isSaving get() = status == "saving"

        /** Whether the task counts as being on its machine: it has its image and has not exited. */
        val isOnMachine get() = isRunning || isSaving || status == "waiting"
        val isLive get() = status != "exited"
    }

    private class AttemptKey(val task: String, val attempt: Long) {
        override fun equals(other: Any?) = other is AttemptKey && other.task == task && other.attempt == attempt

        override fun hashCode() = task.hashCode() + attempt.hashCode()
    }

    private val clocks = environment.clocks
    private val observer = environment.observer
    private val lease = environment.limits.lease / clockRate
    private val reportInterval = environment.limits.reportInterval / clockRate
    private val responseTimeout = RESPONSE_TIMEOUT / clockRate

    /** The time at which the machine was rented. */
    val rentedAt: ComparableTimeMark = clocks.mark()

    /** The faults of its messages. */
    val faults = WorkerFaults()
    private val tasks = LinkedHashMap<AttemptKey, Task>()
    private var alive = true
    private var token = 0L
    private var session = 1L
    private var sequence = 0L
    private var leaseRenewedAt: ComparableTimeMark = clocks.mark()
    private var controllerIndex = 0
    private var commandsWhilePaused = ArrayList<() -> Unit>()
    private var changedSinceReport = false
    private var pausedUntil: ComparableTimeMark? = null
    private val isPaused get() = pausedUntil?.hasNotPassedNow() == true

    /** The tasks that run on the machine. */
    val runningTasks: List<String> get() = tasks.filterValues { it.isRunning }.keys.map { it.task }

    /** The stopped tasks on the machine that save their progress. */
    val savingTasks: List<String> get() = tasks.filterValues { it.isSaving }.keys.map { it.task }

    /** Starts the loops that send reports and run tasks. */
    fun start() {
        scope.launch { reportLoop() }
        scope.launch { runTasks() }
    }

    /** Pauses the process for [span]. */
    fun pause(span: Duration) {
        pausedUntil = clocks.mark() + span
    }

    /** Ends the machine and everything that runs on it. */
    fun terminate() {
        alive = false
        for ((key, task) in tasks) recordStop(key, task)
        tasks.clear()
    }

    private fun recordStop(key: AttemptKey, task: Task) {
        if (!task.isOnMachine) return
        observer.recordStop(host, key.task)
        if (task.gang != null) environment.gangs.leave(key.task, key.attempt)
    }

    /** Makes the task exit with [cause], as it does without an order. */
    fun exitTask(id: String, cause: String) {
        for ((key, task) in tasks) if (key.task == id && task.isLive) markExited(key, task, cause)
    }

    private suspend fun runTasks() {
        while (alive) {
            delay(TICK)
            // A paused machine may resume its tasks within its lease, but not after the lease has expired.
            expireLeaseIfDue()
            if (isPaused) continue
            commandsWhilePaused.toList().also { commandsWhilePaused.clear() }.forEach { it() }
            for ((key, task) in tasks.entries.map { it.key to it.value }) if (tasks[key] === task) advance(key, task)
        }
    }

    private fun advance(key: AttemptKey, task: Task) {
        if (task.status == "pulling" && task.runsFrom?.hasPassedNow() == true) beginTask(key, task)
        if (task.isSaving) return advanceSave(key, task)
        if (task.gang != null && task.isOnMachine) return advanceGangTask(key, task, task.gang)
        if (task.isRunning && task.endsAt?.hasPassedNow() == true) markExited(key, task, "done")
    }

    private fun advanceSave(key: AttemptKey, task: Task) {
        if (task.savedAt?.hasPassedNow() != true) return
        task.stored = true
        markExited(key, task, "stopped")
    }

    private fun advanceGangTask(key: AttemptKey, task: Task, spec: JobSpec) {
        when (environment.gangs.phase(key.task, key.attempt)) {
            GangPhase.WAITING -> Unit
            GangPhase.INCOMPLETE -> markExited(key, task, "incomplete")
            GangPhase.BROKEN -> markExited(key, task, "mates_gone")
            GangPhase.DONE -> markExited(key, task, "done")
            GangPhase.RUNNING -> runGangTask(key, task, spec)
        }
    }

    /** The tasks of a gang run for the same time and complete together. */
    private fun runGangTask(key: AttemptKey, task: Task, spec: JobSpec) {
        if (!task.isRunning) {
            task.status = "running"
            changedSinceReport = true
        }
        val startedAt = environment.gangs.startedAt(key.task, key.attempt) ?: return
        if (startedAt.elapsedNow() < environment.taskTime(spec, 0)) return
        environment.gangs.complete(key.task, key.attempt)
        for (index in 0 until spec.tasks) observer.recordCompletion("${spec.id}/$index")
        markExited(key, task, "done")
    }

    private fun beginTask(key: AttemptKey, task: Task) {
        changedSinceReport = true
        val spec = observer.jobs.getValue(JobWire.parseTaskId(key.task)!!.job)
        observer.recordAttempt(host, key.task)
        if (observer.hasResult(key.task) && !spec.isService) {
            task.status = "exited"
            task.cause = "done"
            return
        }
        task.status = if (task.gang == null) "running" else "waiting"
        environment.recordEvent(host, "${key.task} attempt ${key.attempt} is ${task.status}")
        observer.recordStart(host, market, key.task, spec)
        if (task.gang != null) environment.gangs.arrive(key.task, key.attempt, spec.tasks)
    }

    /**
     * Ends the session if its lease has expired. Checks of what runs call this first, as a busy process may expire the
     * lease late.
     */
    fun expireLeaseIfDue() {
        if (alive && leaseRenewedAt.elapsedNow() > lease) expireLease()
    }

    private fun expireLease() {
        for ((key, task) in tasks) {
            if (task.isLive) {
                environment.recordEvent(host, "${key.task} attempt ${key.attempt} is killed: the lease has expired")
            }
        }
        for ((key, task) in tasks) recordStop(key, task)
        tasks.clear()
        session++
        leaseRenewedAt = clocks.mark()
        changedSinceReport = true
    }

    private fun encodeReport(): ByteArray = Cbor.encode(
        mapOf(
            "host" to host, "endpoint" to endpoint, "flavor" to market.type, "hall" to market.zone,
            "standby" to market.spot,
            "shift" to session, "tick" to ++sequence, "epoch" to token,
            "steps" to tasks.map { (key, task) ->
                mapOf(
                    "step" to key.task,
                    "try" to task.attempt,
                    "status" to task.status,
                    "cause" to task.cause,
                    "stored" to task.stored,
                )
            },
        ),
    )

    private fun executeOrders(commandToken: Long, orders: List<Order>) {
        if (commandToken > token) changedSinceReport = true
        token = commandToken
        for (order in orders) {
            environment.recordEvent(host, "receives $order with token $commandToken in session $session")
            when (order) {
                is Order.Run -> startTask(key(order.start))
                is Order.Stop -> stopTask(key(order.start), order.gracePeriod)
                is Order.Clear -> tasks.remove(key(order.start))
            }
        }
    }

    private fun key(start: Start) = AttemptKey(start.task.toString(), start.attempt)

    /**
     * A running task with checkpoints saves if the grace period suffices; any other task exits at once. A task that
     * saves already goes on unless the grace period is zero. The tasks of a gang exit without saving.
     */
    private fun stopTask(key: AttemptKey, gracePeriod: Duration) {
        val task = tasks[key] ?: return
        if (!task.isLive || (task.isSaving && gracePeriod > Duration.ZERO)) return
        val spec = observer.jobs[JobWire.parseTaskId(key.task)!!.job]
        val saves = task.isRunning && spec != null && !spec.isGang &&
            spec.checkpointInterval > Duration.ZERO && gracePeriod >= spec.saveTime
        if (!saves) return markExited(key, task, "stopped")
        task.status = "saving"
        task.savedAt = clocks.mark() + spec.saveTime
        changedSinceReport = true
        environment.recordEvent(host, "${key.task} attempt ${key.attempt} saves for ${spec.saveTime}")
    }

    private fun startTask(key: AttemptKey) {
        if (key in tasks) return
        changedSinceReport = true
        val id = JobWire.parseTaskId(key.task)!!
        val spec = observer.jobs[id.job]
        val busy = tasks.any { (other, task) -> other.task == key.task && task.isLive }
        if (spec == null || busy) {
            tasks[key] = Task(key.attempt, null, null).also { it.cause = if (spec == null) "no_such" else "busy" }
            return
        }
        val runsFrom = clocks.mark() + environment.fetchTime(spec)
        val task = Task(
            key.attempt,
            runsFrom,
            if (spec.isService) null else runsFrom + environment.taskTime(spec, id.index),
            spec.takeIf { it.isGang },
        )
        tasks[key] = task
        if (environment.fetchTime(spec) == Duration.ZERO) beginTask(key, task)
    }

    private fun markExited(key: AttemptKey, task: Task, cause: String) {
        recordStop(key, task)
        task.status = "exited"
        task.cause = cause
        changedSinceReport = true
        environment.recordEvent(host, "${key.task} attempt ${key.attempt} exits: $cause")
        if (cause == "done") observer.recordCompletion(key.task)
    }

    /** Receives `POST /commands`; null if no response is sent. */
    suspend fun command(commandToken: Long, targetSession: Long, orders: List<Order>): DirectCommandResponse? {
        delay(faults.commandDelay())
        if (faults.dropsInbound || faults.dropsCommands || !alive) return null.also { delay(COMMAND_TIMEOUT) }
        fun executeCommand(): DirectCommandResponse {
            expireLeaseIfDue()
            val accepted = commandToken >= token && targetSession == session
            if (accepted) executeOrders(commandToken, orders)
            return DirectCommandResponse(if (accepted) HttpStatus.OK else HttpStatus.CONFLICT, encodeReport())
        }
        faults.unansweredCommandDelay?.let { executionDelay ->
            scope.launch {
                delay(executionDelay)
                if (alive) executeCommand()
            }
            return null.also { delay(COMMAND_TIMEOUT) }
        }
        if (isPaused) {
            commandsWhilePaused += { executeCommand() }
            return null.also { delay(COMMAND_TIMEOUT) }
        }
        val response = executeCommand()
        delay(faults.commandResponseDelay())
        return response
    }

    private suspend fun reportLoop() {
        delay((rentedAt.elapsedNow() + FIRST_REPORT))
        while (alive) {
            if (!isPaused) sendReport()
            var elapsed = Duration.ZERO
            while (alive && elapsed < reportInterval && !(changedSinceReport && elapsed >= MIN_REPORT_INTERVAL)) {
                delay(TICK)
                elapsed += TICK
            }
        }
    }

    private suspend fun sendReport() {
        changedSinceReport = false
        val sentAt = clocks.mark()
        val sessionAtSend = session
        val body = encodeReport()
        val member = environment.members[controllerIndex % environment.members.size]
        sendDuplicate(body)
        val abandoned = abandonReportIfRequested(body)
        val controller = environment.controller(member)
        if (faults.dropsReports || abandoned || controller == null || !faults.canReach(member)) {
            delay(if (controller == null) CONNECTION_REFUSED_DELAY else responseTimeout)
            controllerIndex++
            return delay(NEXT_CONTROLLER_DELAY)
        }
        val response = exchange(controller, body)
        // A response that arrives during a pause is read on resumption, unless the response timeout has passed by then.
        while (alive && isPaused) delay(PAUSE_TICK)
        if (!alive || sessionAtSend != session) return
        if (leaseRenewedAt.elapsedNow() > lease) return expireLease()
        if (response == null || sentAt.elapsedNow() > responseTimeout) {
            controllerIndex++
            return delay(NEXT_CONTROLLER_DELAY)
        }
        applyResponse(response, sentAt)
    }

    /** Sends the report and waits for the response. The report still arrives after the worker has stopped waiting. */
    private suspend fun exchange(controller: ControllerPort, body: ByteArray): ApiResponse? {
        val response = scope.async {
            delay(faults.reportDelay())
            controller.report(body).also { delay(faults.reportResponseDelay()) }
        }
        val received = withTimeoutOrNull(responseTimeout) { response.await() }
        if (!faults.dropsInbound) return received
        delay(responseTimeout)
        return null
    }

    private fun sendDuplicate(body: ByteArray) {
        val duplicateDelay = environment.duplicateReportDelay ?: return
        scope.launch {
            delay(duplicateDelay)
            environment.controllers().forEach { it.report(body) }
        }
    }

    private fun abandonReportIfRequested(body: ByteArray): Boolean {
        val arrivalDelay = faults.nextReportDelay ?: return false
        faults.nextReportDelay = null
        scope.launch {
            delay(arrivalDelay)
            faults.delayedReportArrived = true
            environment.controllers().forEach { it.report(body) }
        }
        return true
    }

    private suspend fun applyResponse(response: ApiResponse, sentAt: ComparableTimeMark) {
        val map = Cbor.decodeMap(response.body)
        when (response.status) {
            HttpStatus.OK -> {
                if ((map["epoch"] as Long) < token) return
                leaseRenewedAt = sentAt
                executeOrders(map["epoch"] as Long, (map["orders"] as List<*>).map(Orders::decode))
            }

            HttpStatus.MISDIRECTED -> {
                val next = environment.members.indexOf(map["supervisor"])
                if (next >= 0 && next != controllerIndex % environment.members.size) {
                    controllerIndex = next
                } else {
                    controllerIndex++.also { delay(NEXT_CONTROLLER_DELAY) }
                }
            }

            else -> controllerIndex++.also { delay(NEXT_CONTROLLER_DELAY) }
        }
    }

    private companion object {
        val TICK = 50.milliseconds
        val PAUSE_TICK = 10.milliseconds
        val FIRST_REPORT = 1.seconds
        val MIN_REPORT_INTERVAL = 500.milliseconds
        val RESPONSE_TIMEOUT = 4.seconds
        val NEXT_CONTROLLER_DELAY = 1.seconds
        val CONNECTION_REFUSED_DELAY = 50.milliseconds

        /** The time after which a controller stops waiting for the response to a direct command. */
        val COMMAND_TIMEOUT = 2.seconds
    }
}
