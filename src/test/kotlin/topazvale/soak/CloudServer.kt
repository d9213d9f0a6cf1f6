package topazvale.soak

import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import topazvale.Samples
import topazvale.emulator.Orders
import topazvale.emulator.WorkerEmulator
import topazvale.emulator.WorkerEnvironment
import topazvale.model.MachineType
import topazvale.model.Market
import topazvale.net.HttpStatus
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A machine of the cloud's: its worker begins to report once it has booted. */
class CloudMachine(val worker: WorkerEmulator, val market: Market) {
    var up = false
}

/** The cloud's protocol, with its machines' workers in this process. */
class CloudServer(
    private val vertx: Vertx,
    private val scope: CoroutineScope,
    private val world: WorkerEnvironment,
    private val capacity: Int,
    private val random: Random,
    private val log: EventLog,
) {
    private val server = HttpStandIn(vertx, scope, ::answer)
    private val bookings = HashMap<String, List<String>>()
    private var rented = 0

    /** What the cloud lists, by name. */
    val machines = LinkedHashMap<String, CloudMachine>()

    /** Each call is refused with 503. */
    var outage = false

    /** The next machine list is larger than its caller has memory for. */
    var nextListTooLarge = false

    /** The machines that are up. */
    val workers: List<WorkerEmulator> get() = machines.values.filter { it.up }.map { it.worker }

    /** Starts listening; the port. */
    suspend fun listen(): Int = server.listen()

    /** The machine stops with all that is on it, and is listed no more. */
    fun take(host: String) {
        log.add(host, "machine is gone")
        machines.remove(host)?.worker?.terminate()
    }

    private suspend fun answer(request: StandInRequest): StandInAnswer {
        delay(LATENCY)
        if (outage) return StandInAnswer(HttpStatus.UNAVAILABLE, mapOf("error" to "trouble"))
        return when (request.path) {
            "/flavors" -> StandInAnswer(HttpStatus.OK, mapOf("flavors" to Samples.types.values.map(::flavor)))
            "/hosts/release" -> release(request)
            "/hosts" -> if (request.method == HttpMethod.POST) rent(request) else list(request)
            else -> StandInAnswer(HttpStatus.BAD_REQUEST, mapOf("error" to "no such path"))
        }
    }

    private fun flavor(type: MachineType) = mapOf(
        "sku" to type.name,
        "cores" to type.capacity.cpus,
        "gpus" to type.capacity.gpus,
        "memoryGb" to type.capacity.memoryGb,
        "cacheGb" to type.cacheGb,
        "fetchGbPerS" to type.fetchGbPerS,
        "hourly" to type.price,
        "marketPrice" to type.spotPrice,
        "readyS" to BOOT.toDouble(DurationUnit.SECONDS),
        "halls" to type.zones,
    )

    private suspend fun rent(request: StandInRequest): StandInAnswer {
        val booking = request.fields["booking"] as String
        val hosts = bookings[booking] ?: rentNew(request)
        if (hosts.isEmpty()) return StandInAnswer(HttpStatus.UNAVAILABLE, mapOf("error" to "no capacity"))
        bookings[booking] = hosts
        return StandInAnswer(HttpStatus.OK, mapOf("hosts" to hosts))
    }

    private suspend fun rentNew(request: StandInRequest): List<String> {
        val fields = request.fields
        val market = Market(fields["flavor"] as String, fields["hall"] as String, fields["standby"] as Boolean)
        val count = minOf((fields["howMany"] as Long).toInt(), capacity - machines.size)
        return List(count.coerceAtLeast(0)) { boot("n-%06d".format(++rented), market) }
    }

    private suspend fun boot(host: String, market: Market): String {
        lateinit var worker: WorkerEmulator
        val commands = HttpStandIn(vertx, scope) { request -> command(worker, request) }
        val endpoint = "${HttpStandIn.LOOPBACK}:${commands.listen()}"
        val rate = 1.0 + random.nextDouble(-CLOCK_DRIFT, CLOCK_DRIFT)
        worker = WorkerEmulator(host, endpoint, market, world, scope, rate)
        val machine = CloudMachine(worker, market)
        machines[host] = machine
        scope.launch {
            delay(BOOT * random.nextDouble(LEAST_BOOT, MOST_BOOT))
            machine.up = true
            worker.start()
        }
        return host
    }

    private suspend fun command(worker: WorkerEmulator, request: StandInRequest): StandInAnswer? {
        val token = request.fields["epoch"] as Long
        val session = request.fields["shift"] as Long
        val orders = (request.fields["orders"] as List<*>).map(Orders::decode)
        val answer = worker.command(token, session, orders) ?: return null
        return StandInAnswer(answer.status, answer.report)
    }

    private fun release(request: StandInRequest): StandInAnswer {
        for (host in request.fields["hosts"] as List<*>) take(host as String)
        return StandInAnswer(HttpStatus.OK, emptyMap())
    }

    private fun list(request: StandInRequest): StandInAnswer {
        val listed = machines.filterKeys { it > request.parameter("since") }.map { (host, machine) ->
            mapOf(
                "uid" to host,
                "endpoint" to machine.worker.endpoint,
                "flavor" to machine.market.type,
                "hall" to machine.market.zone,
                "standby" to machine.market.spot,
                "status" to if (machine.up) "running" else "starting",
                "heldS" to machine.worker.rentedAt.elapsedNow().toDouble(DurationUnit.SECONDS),
            )
        }
        val page = listed.take(PAGE)
        val paddingMb = if (nextListTooLarge) TOO_LARGE_MB else 0
        if (nextListTooLarge) log.add("cloud", "answers with a list of $TOO_LARGE_MB MB")
        nextListTooLarge = false
        return StandInAnswer(HttpStatus.OK, mapOf("hosts" to page, "truncated" to (listed.size > PAGE)), paddingMb)
    }

    private companion object {
        val BOOT: Duration = 2.seconds
        const val LEAST_BOOT = 0.3
        const val MOST_BOOT = 1.5
        const val PAGE = 500
        const val TOO_LARGE_MB = 300
        const val CLOCK_DRIFT = 0.0005
        val LATENCY = 20.milliseconds
    }
}
