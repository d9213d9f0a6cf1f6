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
import topazvale.model.DirectCommand
import topazvale.model.MachineType
import topazvale.model.Market
import topazvale.net.HttpStatus
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A rented machine. Its worker starts to report when the machine has booted. */
class CloudMachine(val worker: WorkerEmulator, val market: Market) {
    var isUp = false
}

/** A stand-in server for the cloud's protocol. The workers of its machines run in this process. */
class CloudServer(
    private val vertx: Vertx,
    private val scope: CoroutineScope,
    private val environment: WorkerEnvironment,
    private val capacity: Int,
    private val random: Random,
    private val log: EventLog,
) {
    private val server = HttpStandIn(vertx, scope, ::respond)
    private val bookings = HashMap<String, List<String>>()
    private var rentedCount = 0

    /** The machines that the cloud lists, by host name. */
    val machines = LinkedHashMap<String, CloudMachine>()

    /** Supplies the delays of copies of answered requests; null: no copy. */
    var copyDelay: () -> Duration? by server::copyDelay

    /** Whether each call is refused with status 503. */
    var outage = false

    /** The zones in which no further machines can be rented. */
    var zonesWithoutCapacity: Set<String> = emptySet()

    /** Whether the next machine list exceeds the memory of its caller. */
    var nextListOversized = false

    /** The workers of the machines that have booted. */
    val workers: List<WorkerEmulator> get() = machines.values.filter { it.isUp }.map { it.worker }

    /** Starts listening and returns the port. */
    suspend fun listen(): Int = server.listen()

    /** Removes the machine with all its tasks, also from the list. */
    fun removeMachine(host: String) {
        log.add(host, "machine is removed")
        machines.remove(host)?.worker?.terminate()
    }

    private suspend fun respond(request: StandInRequest): StandInResponse {
        delay(LATENCY)
        if (outage) return StandInResponse(HttpStatus.UNAVAILABLE, mapOf("error" to "trouble"))
        return when (request.path) {
            "/flavors" -> StandInResponse(HttpStatus.OK, mapOf("flavors" to Samples.types.values.map(::flavor)))
            "/hosts/release" -> release(request)
            "/hosts" -> if (request.method == HttpMethod.POST) rent(request) else list(request)
            else -> StandInResponse(HttpStatus.BAD_REQUEST, mapOf("error" to "no such path"))
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
        "readyS" to BOOT_TIME.toDouble(DurationUnit.SECONDS),
        "halls" to type.zones,
    )

    private suspend fun rent(request: StandInRequest): StandInResponse {
        val booking = request.fields["booking"] as String
        val hosts = bookings[booking] ?: rentNew(request)
        if (hosts.isEmpty()) return StandInResponse(HttpStatus.UNAVAILABLE, mapOf("error" to "no capacity"))
        bookings[booking] = hosts
        return StandInResponse(HttpStatus.OK, mapOf("hosts" to hosts))
    }

    private suspend fun rentNew(request: StandInRequest): List<String> {
        val fields = request.fields
        val market = Market(fields["flavor"] as String, fields["hall"] as String, fields["standby"] as Boolean)
        if (market.zone in zonesWithoutCapacity) return emptyList()
        val free = marketCapacity(market) - machines.values.count { it.market == market }
        val count = minOf((fields["howMany"] as Long).toInt(), free)
        return List(count.coerceAtLeast(0)) { boot("n-%06d".format(++rentedCount), market) }
    }

    /** Each market has a share of the capacity of its own: idle machines of one take nothing from another. */
    private fun marketCapacity(market: Market): Int {
        val shares = if (Samples.types.getValue(market.type).capacity.gpus >
            0.0
        ) {
            GPU_MARKET_SHARES
        } else {
            PLAIN_MARKET_SHARES
        }
        return (capacity * shares / TOTAL_SHARES).coerceAtLeast(1)
    }

    private suspend fun boot(host: String, market: Market): String {
        lateinit var worker: WorkerEmulator
        val commands = HttpStandIn(vertx, scope) { request -> command(worker, request) }
        val endpoint = "${HttpStandIn.LOOPBACK}:${commands.listen()}"
        val rate = 1.0 + random.nextDouble(-CLOCK_DRIFT, CLOCK_DRIFT)
        worker = WorkerEmulator(host, endpoint, market, environment, scope, rate)
        val machine = CloudMachine(worker, market)
        machines[host] = machine
        scope.launch {
            delay(BOOT_TIME * random.nextDouble(MIN_BOOT_FACTOR, MAX_BOOT_FACTOR))
            machine.isUp = true
            worker.start()
        }
        return host
    }

    private suspend fun command(worker: WorkerEmulator, request: StandInRequest): StandInResponse? {
        val token = request.fields["epoch"] as Long
        val session = request.fields["shift"] as Long
        val orders = (request.fields["orders"] as List<*>).map(Orders::decode)
        val response = worker.command(DirectCommand(token, session, orders)) ?: return null
        return StandInResponse(response.status, response.report)
    }

    private fun release(request: StandInRequest): StandInResponse {
        for (host in request.fields["hosts"] as List<*>) removeMachine(host as String)
        return StandInResponse(HttpStatus.OK, emptyMap())
    }

    private fun list(request: StandInRequest): StandInResponse {
        val listed = machines.filterKeys { it > request.parameter("since") }.map { (host, machine) ->
            mapOf(
                "uid" to host,
                "endpoint" to machine.worker.endpoint,
                "flavor" to machine.market.type,
                "hall" to machine.market.zone,
                "standby" to machine.market.spot,
                "status" to if (machine.isUp) "running" else "starting",
                "heldS" to machine.worker.rentedAt.elapsedNow().toDouble(DurationUnit.SECONDS),
            )
        }
        val page = listed.take(PAGE_SIZE)
        val paddingMb = if (nextListOversized) OVERSIZED_LIST_MB else 0
        if (nextListOversized) log.add("cloud", "responds with a list of $OVERSIZED_LIST_MB MB")
        nextListOversized = false
        return StandInResponse(
            HttpStatus.OK,
            mapOf("hosts" to page, "truncated" to (listed.size > PAGE_SIZE)),
            paddingMb,
        )
    }

    private companion object {
        val BOOT_TIME: Duration = 2.seconds
        const val MIN_BOOT_FACTOR = 0.3
        const val MAX_BOOT_FACTOR = 1.5
        const val PAGE_SIZE = 500

        /** There are four markets with GPUs and four without. */
        const val GPU_MARKET_SHARES = 1
        const val PLAIN_MARKET_SHARES = 3
        const val TOTAL_SHARES = 16
        const val OVERSIZED_LIST_MB = 300
        const val CLOCK_DRIFT = 0.0005
        val LATENCY = 20.milliseconds
    }
}
