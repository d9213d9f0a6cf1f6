package topazvale.fake

import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import topazvale.cloud.CloudService
import topazvale.cloud.RentalOutcome
import topazvale.config.Address
import topazvale.model.CloudStatus
import topazvale.model.ListedMachine
import topazvale.model.MachineType
import topazvale.model.Market
import topazvale.model.Order
import topazvale.model.Report
import topazvale.net.Call
import topazvale.net.Http
import topazvale.net.HttpResponse
import topazvale.reconcile.WorkerClient
import topazvale.wire.Cbor
import topazvale.wire.WorkerWire
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Cloud and workers in one: machines are up at once, tasks run for [taskTime], double starts are noted. */
class FakeCloud(
    private val types: List<MachineType>,
    private val taskTime: Duration,
    private val lease: Duration,
    private val scope: CoroutineScope,
    private val http: Http,
    private val nodes: () -> List<Int>,
) : CloudService,
    WorkerClient {
    private class Task(val attempt: Long, val ends: TimeMark, var status: String = "running", var cause: String? = null)

    private inner class Worker(val host: String, val market: Market) {
        val tasks = LinkedHashMap<String, Task>()
        var token = 0L
        var tick = 0L
        var session = 1L
        var at = 0
        private var lapses: TimeMark = TimeSource.Monotonic.markNow() + lease

        @Synchronized
        fun report(): Map<String, Any?> {
            for (t in tasks.values) if (t.status == "running" && t.ends.hasPassedNow()) exit(t, "done")
            return mapOf(
                "host" to host, "endpoint" to "127.0.0.1:${host.removePrefix("n-")}", "flavor" to market.type,
                "hall" to market.zone, "standby" to market.spot, "shift" to session, "tick" to ++tick, "epoch" to token,
                "steps" to tasks.map { (key, t) ->
                    mapOf(
                        "step" to key.substringBefore('#'),
                        "try" to t.attempt,
                        "status" to t.status,
                        "cause" to t.cause,
                    )
                },
            )
        }

        /** Nothing renews its lease: it ends all tasks and goes on in a new session. */
        @Synchronized
        fun lapse() {
            if (!lapses.hasPassedNow()) return
            lapses = TimeSource.Monotonic.markNow() + lease
            for (t in tasks.values) if (t.status == "running") exit(t, "stopped")
            tasks.clear()
            session++
        }

        @Synchronized
        fun execute(from: Long, orders: List<Order>): Boolean {
            if (from < token) return false
            token = from
            for (order in orders) {
                when (order) {
                    is Order.Run -> run("${order.start.task}#${order.start.attempt}", order.start.attempt)

                    is Order.Stop -> tasks["${order.start.task}#${order.start.attempt}"]?.let {
                        if (it.status ==
                            "running"
                        ) {
                            exit(it, "stopped")
                        }
                    }

                    is Order.Clear -> tasks.remove("${order.start.task}#${order.start.attempt}")
                }
            }
            return true
        }

        private fun run(key: String, attempt: Long) {
            if (key in tasks) return
            tasks[key] = Task(attempt, TimeSource.Monotonic.markNow() + taskTime)
            val task = key.substringBefore('#')
            if (running.merge(task, 1, Int::plus)!! > 1) duplicateRuns += task
        }

        private fun exit(task: Task, cause: String) {
            task.status = "exited"
            task.cause = cause
            running.merge(tasks.entries.first { it.value === task }.key.substringBefore('#'), -1, Int::plus)
        }
    }

    private val workers = ConcurrentHashMap<String, Worker>()
    private var created = 0
    val running = ConcurrentHashMap<String, Int>()
    val duplicateRuns: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Straight orders get no answer and arrive this much later. */
    var commandDelay: Duration? = null

    /** Machines whose reports arrive, and which neither answers nor straight orders reach. */
    val hostsDroppingInbound: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** A copy of each report arrives once more, this much later. */
    var duplicateReportDelay: Duration? = null

    /** The node that no worker reaches. */
    var unreachablePort: Int? = null

    override suspend fun listMachineTypes() = types

    override suspend fun rent(name: String, market: Market, count: Int, precondition: () -> Boolean): RentalOutcome {
        val hosts = (1..count).map { "n-%06d".format(synchronized(this) { ++created }) }
        for (host in hosts) {
            val worker = Worker(host, market)
            workers[host] = worker
            scope.launch { reporting(worker) }
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

    override suspend fun command(endpoint: String, token: Long, session: Long, orders: List<Order>): Report? {
        val worker =
            workers["n-${endpoint.substringAfterLast(':')}"]?.takeIf { it.host !in hostsDroppingInbound } ?: return null
        val wait = commandDelay
        if (wait != null) {
            scope.launch {
                delay(wait)
                worker.execute(token, orders)
            }
            return null
        }
        worker.execute(token, orders)
        return WorkerWire.decodeReport(Cbor.encode(worker.report()))
    }

    private suspend fun reporting(worker: Worker) {
        while (workers[worker.host] === worker) {
            val ports = nodes()
            val reply = if (ports.isEmpty()) {
                null
            } else {
                val port = ports[worker.at % ports.size]
                if (port == unreachablePort) {
                    null
                } else {
                    beat(port, Cbor.encode(worker.report()))
                }
            }
            if (worker.host in hostsDroppingInbound) {
                worker.lapse()
            } else if (reply?.status == 200) {
                val body = Cbor.decodeMap(reply.body)
                worker.execute(body["epoch"] as Long, (body["orders"] as List<*>).map(::order))
            } else {
                worker.at++
            }
            delay(EVERY)
        }
    }

    private suspend fun beat(port: Int, body: ByteArray): HttpResponse? {
        duplicateReportDelay?.let { wait ->
            scope.launch {
                delay(wait)
                nodes().forEach {
                    http.call(Address("127.0.0.1", it), Call(HttpMethod.POST, "/agent/beat", body, 2.seconds))
                }
            }
        }
        return http.call(Address("127.0.0.1", port), Call(HttpMethod.POST, "/agent/beat", body, 2.seconds))
    }

    private fun order(value: Any?): Order {
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
        val EVERY = 100.milliseconds
    }
}
