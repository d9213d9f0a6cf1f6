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
import topazvale.net.PoolSettings
import topazvale.net.TokenBucket
import topazvale.wire.CloudWire
import topazvale.wire.MalformedException
import kotlin.time.Duration.Companion.seconds

/** The [CloudService] over HTTP, within the rate limit of the cloud. */
class HttpCloudService(vertx: Vertx, private val address: Address, limits: CloudLimits) : CloudService {
    private val log = LoggerFactory.getLogger(HttpCloudService::class.java)
    private val http = Http(vertx, PoolSettings("cloud", maxConnections = 2, connectTimeout = 2.seconds))

    // The leader uses only a share of the rate limit, as the other nodes request the machine types now and then.
    private val rateLimiter = TokenBucket(limits.rps * LEADER_SHARE, limits.rps)

    override suspend fun listMachineTypes(): List<MachineType>? = decodeOrNull(call(HttpMethod.GET, "/flavors", null)) {
        CloudWire.decodeMachineTypes(it)
    }

    override suspend fun rent(name: String, market: Market, count: Int, precondition: () -> Boolean): RentalOutcome {
        val body = CloudWire.encodeRental(name, market, count)
        val response = call(HttpMethod.POST, "/hosts", body, precondition) ?: return RentalOutcome.Unknown
        return when (response.status) {
            HttpStatus.OK ->
                decodeOrNull(response) { CloudWire.decodeRentedHosts(it) }?.let { RentalOutcome.Rented(it) }
                    ?: RentalOutcome.Unknown

            HttpStatus.UNAVAILABLE ->
                if (isLackOfCapacity(response)) RentalOutcome.NoCapacity else RentalOutcome.Refused

            HttpStatus.TOO_MANY_REQUESTS, HttpStatus.BAD_REQUEST -> RentalOutcome.Refused

            else -> RentalOutcome.Unknown
        }
    }

    /** An outage has the same status as a lack of capacity, but another text in its body. */
    private fun isLackOfCapacity(response: HttpResponse) =
        String(response.body, Charsets.ISO_8859_1).contains("no capacity")

    override suspend fun returnMachines(hosts: List<String>, precondition: () -> Boolean): Boolean =
        hosts.chunked(MAX_RETURNS_PER_CALL).all { chunk ->
            call(HttpMethod.POST, "/hosts/release", CloudWire.encodeReturn(chunk), precondition)?.status ==
                HttpStatus.OK
        }

    override suspend fun listMachines(): List<ListedMachine>? {
        val listed = ArrayList<ListedMachine>()
        var since = ""
        while (true) {
            val page =
                decodeOrNull(call(HttpMethod.GET, "/hosts?limit=$PAGE_SIZE$since", null)) { CloudWire.decodePage(it) }
                    ?: return null
            listed += page.machines
            if (!page.hasMore || page.machines.isEmpty()) return listed
            since = "&since=${page.machines.last().host}"
        }
    }

    private suspend fun call(
        method: HttpMethod,
        path: String,
        body: ByteArray?,
        precondition: () -> Boolean = { true },
    ): HttpResponse? {
        rateLimiter.acquire()
        return http.call(address, Call(method, path, body, TIMEOUT), precondition)
    }

    private fun <T> decodeOrNull(response: HttpResponse?, decode: (ByteArray) -> T): T? = try {
        if (response?.status == HttpStatus.OK) decode(response.body) else null
    } catch (e: MalformedException) {
        log.warn("the cloud's response cannot be read: {}", e.message)
        null
    }

    private companion object {
        const val MAX_RETURNS_PER_CALL = 100
        const val PAGE_SIZE = 500
        const val LEADER_SHARE = 0.85
        val TIMEOUT = 3.seconds
    }
}
