package topazvale.emulator

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import topazvale.api.ApiResponse
import topazvale.model.DirectCommand
import topazvale.model.Market
import topazvale.model.Order
import topazvale.net.HttpStatus
import topazvale.store.Records
import topazvale.wire.Cbor
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
    private val clocks = environment.clocks
    private val lease = environment.limits.lease / clockRate
    private val reportInterval = environment.limits.reportInterval / clockRate
    private val responseTimeout = RESPONSE_TIMEOUT / clockRate

    /** The time at which the machine was rented. */
    val rentedAt: ComparableTimeMark = clocks.mark()

    /** The faults of its messages. */
    val faults = WorkerFaults()
    private var alive = true

    /** The highest token that the worker has seen. */
    var token = 0L
        private set
    private var session = 1L
    private var sequence = 0L
    private var leaseRenewedAt: ComparableTimeMark = clocks.mark()
    private var controllerIndex = 0
    private var commandsWhilePaused = ArrayList<() -> Unit>()
    private var changedSinceReport = false
    private val tasks = EmulatedTasks(host, market, environment) { changedSinceReport = true }
    private var pausedUntil: ComparableTimeMark? = null
    private val isPaused get() = pausedUntil?.hasNotPassedNow() == true

    /** The tasks that run on the machine. */
    val runningTasks: List<String> get() = tasks.running

    /** The number of tasks in the worker's reports, exited ones included. */
    val listedTasks: Int get() = tasks.size

    /** The stopped tasks on the machine that save their progress. */
    val savingTasks: List<String> get() = tasks.saving

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
        tasks.kill("the machine has ended")
    }

    /** Makes the task exit with [cause], as it does without an order. */
    fun exitTask(id: String, cause: String) = tasks.exit(id, cause)

    private suspend fun runTasks() {
        while (alive) {
            delay(TICK)
            // A paused machine may resume its tasks within its lease, but not after the lease has expired.
            expireLeaseIfDue()
            if (isPaused) continue
            commandsWhilePaused.toList().also { commandsWhilePaused.clear() }.forEach { it() }
            tasks.advance()
        }
    }

    /**
     * Ends the session if its lease has expired. Checks of what runs call this first, as a busy process may expire the
     * lease late.
     */
    fun expireLeaseIfDue() {
        if (alive && leaseRenewedAt.elapsedNow() > lease) expireLease()
    }

    private fun expireLease() {
        tasks.kill("the lease has expired")
        session++
        leaseRenewedAt = clocks.mark()
        changedSinceReport = true
    }

    /** The size of the largest report so far in its JSON form, to which the protocol's size limits apply. */
    var largestReportBytes = 0
        private set

    private fun encodeReport(): ByteArray {
        val fields = mapOf(
            "host" to host, "endpoint" to endpoint, "flavor" to market.type, "hall" to market.zone,
            "standby" to market.spot,
            "shift" to session, "tick" to ++sequence, "epoch" to token,
            "steps" to tasks.encode(),
        )
        largestReportBytes = maxOf(largestReportBytes, Records.size(fields))
        return Cbor.encode(fields)
    }

    private fun executeOrders(commandToken: Long, orders: List<Order>) {
        if (commandToken > token) changedSinceReport = true
        token = commandToken
        for (order in orders) {
            environment.recordEvent(host, "receives $order with token $commandToken in session $session")
            tasks.execute(order)
        }
    }

    /** Receives `POST /commands`; null if no response is sent. */
    suspend fun command(command: DirectCommand): DirectCommandResponse? {
        delay(faults.commandDelay())
        if (faults.dropsInbound || faults.dropsCommands || !alive) return null.also { delay(COMMAND_TIMEOUT) }
        faults.unansweredCommandDelay?.let { executionDelay ->
            scope.launch {
                delay(executionDelay)
                if (alive) execute(command)
            }
            return null.also { delay(COMMAND_TIMEOUT) }
        }
        if (isPaused) {
            commandsWhilePaused += { execute(command) }
            return null.also { delay(COMMAND_TIMEOUT) }
        }
        val response = execute(command)
        if (response.status == HttpStatus.OK) faults.commandCopyDelay()?.let { deliverCopy(command, it) }
        delay(faults.commandResponseDelay())
        return response
    }

    private fun execute(command: DirectCommand): DirectCommandResponse {
        expireLeaseIfDue()
        val accepted = command.token >= token && command.session == session
        if (accepted) executeOrders(command.token, command.orders)
        return DirectCommandResponse(if (accepted) HttpStatus.OK else HttpStatus.CONFLICT, encodeReport())
    }

    /** Delivers an answered command once more after [copyDelay]; a paused machine receives it when it resumes. */
    private fun deliverCopy(command: DirectCommand, copyDelay: Duration) {
        scope.launch {
            delay(copyDelay)
            while (alive && isPaused) delay(PAUSE_TICK)
            if (alive) executeCopy(command)
        }
    }

    private fun executeCopy(command: DirectCommand) {
        expireLeaseIfDue()
        if (command.token < token || command.session != session) return
        val restarted = command.orders.filterIsInstance<Order.Run>().filterNot { tasks.isKnown(it.start) }
        restarted.forEach { environment.observer.recordRepeatedStart(host, it.start) }
        execute(command)
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
