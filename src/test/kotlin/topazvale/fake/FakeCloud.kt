package topazvale.fake

import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import topazvale.cloud.CloudService
import topazvale.cloud.RentalOutcome
import topazvale.config.Address
import topazvale.model.CloudStatus
import topazvale.model.DirectCommand
import topazvale.model.ListedMachine
import topazvale.model.MachineType
import topazvale.model.Market
import topazvale.model.Order
import topazvale.net.Call
import topazvale.net.Http
import topazvale.net.HttpResponse
import topazvale.reconcile.CommandResponse
import topazvale.reconcile.WorkerClient
import topazvale.wire.Cbor
import topazvale.wire.WorkerWire
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * A fake cloud that also emulates the workers: machines are up at once and tasks run for [taskTime]. A task that starts
 * while it runs already is recorded in [duplicateRuns].
 */
class FakeCloud(
    private val types: List<MachineType>,
    private val taskTime: Duration,
    private val lease: Duration,
    private val scope: CoroutineScope,
    private val http: Http,
    private val nodes: () -> List<Int>,
) : CloudService,
    WorkerClient {
    private class Task(
        val attempt: Long,
        val endsAt: TimeMark,
        var status: String = "running",
        var cause: String? = null,
    )

    private inner class Worker(val host: String, val market: Market) {
        val tasks = LinkedHashMap<String, Task>()
        var token = 0L
        var sequence = 0L
        var session = 1L
        var nodeIndex = 0
        private var leaseEnds: TimeMark = TimeSource.Monotonic.markNow() + lease

        @Synchronized
        fun report(): Map<String, Any?> {
            for (task in tasks.values) {
                if (task.status == "running" && task.endsAt.hasPassedNow()) markExited(task, "done")
            }
            return mapOf(
                "host" to host, "endpoint" to "127.0.0.1:${host.removePrefix("n-")}", "flavor" to market.type,
                "hall" to market.zone, "standby" to market.spot, "shift" to session, "tick" to ++sequence,
                "epoch" to token,
                "steps" to tasks.map { (key, task) ->
                    mapOf(
                        "step" to key.substringBefore('#'),
                        "try" to task.attempt,
                        "status" to task.status,
                        "cause" to task.cause,
                    )
                },
            )
        }

        /** Ends all tasks and starts a new session once the lease has expired without renewal. */
        @Synchronized
        fun expireLease() {
            if (!leaseEnds.hasPassedNow()) return
            leaseEnds = TimeSource.Monotonic.markNow() + lease
            for (task in tasks.values) if (task.status == "running") markExited(task, "stopped")
            tasks.clear()
            session++
        }

        @Synchronized
        fun execute(commandToken: Long, orders: List<Order>): Boolean {
            if (commandToken < token) return false
            token = commandToken
            for (order in orders) {
                when (order) {
                    is Order.Run -> startTask("${order.start.task}#${order.start.attempt}", order.start.attempt)

                    is Order.Stop -> tasks["${order.start.task}#${order.start.attempt}"]?.let {
                        if (it.status ==
                            "running"
                        ) {
                            markExited(it, "stopped")
                        }
                    }

                    is Order.Clear -> tasks.remove("${order.start.task}#${order.start.attempt}")
                }
            }
            return true
        }

        private fun startTask(key: String, attempt: Long) {
            if (key in tasks) return
            tasks[key] = Task(attempt, TimeSource.Monotonic.markNow() + taskTime)
            val task = key.substringBefore('#')
            if (running.merge(task, 1, Int::plus)!! > 1) duplicateRuns += task
        }

        private fun markExited(task: Task, cause: String) {
            task.status = "exited"
            task.cause = cause
            running.merge(tasks.entries.first { it.value === task }.key.substringBefore('#'), -1, Int::plus)
        }
    }

    private val workers = ConcurrentHashMap<String, Worker>()
    private var rentedCount = 0
    val running = ConcurrentHashMap<String, Int>()
    val duplicateRuns: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Direct commands get no response and arrive after this delay; null: no fault. */
    var commandDelay: Duration? = null

    /** Machines whose reports arrive, but which receive neither responses nor direct commands. */
    val hostsDroppingInbound: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** A duplicate of each report arrives after this delay; null: no duplicates. */
    var duplicateReportDelay: Duration? = null

    /** The port of the controller that no worker reaches. */
    var unreachablePort: Int? = null

    override suspend fun listMachineTypes() = types

    override suspend fun rent(name: String, market: Market, count: Int, precondition: () -> Boolean): RentalOutcome {
        val hosts = (1..count).map { "n-%06d".format(synchronized(this) { ++rentedCount }) }
        for (host in hosts) {
            val worker = Worker(host, market)
            workers[host] = worker
            scope.launch { reportLoop(worker) }
        }
        return RentalOutcome.Rented(hosts)
    }

    override suspend fun returnMachines(hosts: List<String>, precondition: () -> Boolean): Boolean {
        hosts.forEach { workers.remove(it) }
        return true
    }

    override suspend fun listMachines() = workers.values.map {
        ListedMachine(it.host, "127.0.0.1:${it.host.removePrefix("n-")}", it.market, CloudStatus.RUNNING, 1.seconds)
    }

    override suspend fun command(endpoint: String, command: DirectCommand): CommandResponse? {
        val worker =
            workers["n-${endpoint.substringAfterLast(':')}"]?.takeIf { it.host !in hostsDroppingInbound } ?: return null
        val arrivalDelay = commandDelay
        if (arrivalDelay != null) {
            scope.launch {
                delay(arrivalDelay)
                worker.execute(command.token, command.orders)
            }
            return null
        }
        val isAccepted = worker.execute(command.token, command.orders)
        return CommandResponse(isAccepted, WorkerWire.decodeReport(Cbor.encode(worker.report())))
    }

    private suspend fun reportLoop(worker: Worker) {
        while (workers[worker.host] === worker) {
            val ports = nodes()
            val response = if (ports.isEmpty()) {
                null
            } else {
                val port = ports[worker.nodeIndex % ports.size]
                if (port == unreachablePort) {
                    null
                } else {
                    sendReport(port, Cbor.encode(worker.report()))
                }
            }
            if (worker.host in hostsDroppingInbound) {
                worker.expireLease()
            } else if (response?.status == 200) {
                val body = Cbor.decodeMap(response.body)
                worker.execute(body["epoch"] as Long, (body["orders"] as List<*>).map(::decodeOrder))
            } else {
                worker.nodeIndex++
            }
            delay(REPORT_INTERVAL)
        }
    }

    private suspend fun sendReport(port: Int, body: ByteArray): HttpResponse? {
        duplicateReportDelay?.let { duplicateDelay ->
            scope.launch {
                delay(duplicateDelay)
                nodes().forEach {
                    http.call(Address("127.0.0.1", it), Call(HttpMethod.POST, "/agent/beat", body, 2.seconds))
                }
            }
        }
        return http.call(Address("127.0.0.1", port), Call(HttpMethod.POST, "/agent/beat", body, 2.seconds))
    }

    private fun decodeOrder(value: Any?): Order {
        val map = value as Map<*, *>
        val task = topazvale.wire.JobWire.parseTaskId(map["step"] as String)!!
        val start = topazvale.model.Start(task, map["try"] as Long)
        return when (map["verb"]) {
            "run" -> Order.Run(start)
            "stop" -> Order.Stop(start, Duration.ZERO)
            else -> Order.Clear(start)
        }
    }

    private companion object {
        val REPORT_INTERVAL = 100.milliseconds
    }
}
