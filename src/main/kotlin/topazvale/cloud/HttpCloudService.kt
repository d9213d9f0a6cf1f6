package topazvale.cloud

import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import org.slf4j.LoggerFactory
import topazvale.config.Address
import topazvale.config.CloudLimits
import topazvale.model.ListedMachine
import topazvale.model.MachineType
import topazvale.model.Market
import topazvale.net.Call
import topazvale.net.Http
import topazvale.net.HttpResponse
import topazvale.net.HttpStatus
import topazvale.net.TokenBucket
import topazvale.wire.CloudWire
import topazvale.wire.MalformedException
import kotlin.time.Duration.Companion.seconds

/** The cloud over HTTP, within its rate. */
class HttpCloudService(vertx: Vertx, private val address: Address, limits: CloudLimits) : CloudService {
    private val log = LoggerFactory.getLogger(HttpCloudService::class.java)
    private val http = Http(vertx, maxConnections = 2, connectTimeout = 2.seconds)

    // The other nodes ask for machine types now and then.
    private val calls = TokenBucket(limits.rps * LEADER_SHARE, limits.rps)

    override suspend fun listMachineTypes(): List<MachineType>? = read(call(HttpMethod.GET, "/flavors", null)) {
        CloudWire.types(it)
    }

    override suspend fun rent(name: String, market: Market, count: Int, precondition: () -> Boolean): RentalOutcome {
        val body = CloudWire.rental(name, market, count)
        val reply = call(HttpMethod.POST, "/hosts", body, precondition) ?: return RentalOutcome.Unknown
        return when (reply.status) {
            HttpStatus.OK ->
                read(reply) { CloudWire.rented(it) }?.let { RentalOutcome.Rented(it) } ?: RentalOutcome.Unknown

            HttpStatus.UNAVAILABLE -> if (lacksCapacity(reply)) RentalOutcome.NoCapacity else RentalOutcome.Refused

            HttpStatus.TOO_MANY_REQUESTS, HttpStatus.BAD_REQUEST -> RentalOutcome.Refused

            else -> RentalOutcome.Unknown
        }
    }

    /** An outage has the same status, with another text in its body. */
    private fun lacksCapacity(reply: HttpResponse) = String(reply.body, Charsets.ISO_8859_1).contains("no capacity")

    override suspend fun returnMachines(hosts: List<String>, precondition: () -> Boolean): Boolean =
        hosts.chunked(MAX_RELEASE).all { names ->
            call(HttpMethod.POST, "/hosts/release", CloudWire.release(names), precondition)?.status == HttpStatus.OK
        }

    override suspend fun listMachines(): List<ListedMachine>? {
        val all = ArrayList<ListedMachine>()
        var since = ""
        while (true) {
            val page =
                read(call(HttpMethod.GET, "/hosts?limit=$PAGE$since", null)) { CloudWire.page(it) } ?: return null
            all += page.machines
            if (!page.more || page.machines.isEmpty()) return all
            since = "&since=${page.machines.last().host}"
        }
    }

    private suspend fun call(
        method: HttpMethod,
        path: String,
        body: ByteArray?,
        precondition: () -> Boolean = { true },
    ): HttpResponse? {
        calls.acquire()
        return http.call(address, Call(method, path, body, LIMIT), precondition)
    }

    private fun <T> read(reply: HttpResponse?, decode: (ByteArray) -> T): T? = try {
        if (reply?.status == HttpStatus.OK) decode(reply.body) else null
    } catch (e: MalformedException) {
        log.warn("the cloud's answer cannot be read: {}", e.message)
        null
    }

    private companion object {
        const val MAX_RELEASE = 100
        const val PAGE = 500
        const val LEADER_SHARE = 0.85
        val LIMIT = 3.seconds
    }
}
