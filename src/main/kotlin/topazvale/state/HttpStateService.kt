package topazvale.state

import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import org.slf4j.LoggerFactory
import topazvale.config.Address
import topazvale.config.StateLimits
import topazvale.net.Call
import topazvale.net.Http
import topazvale.net.HttpResponse
import topazvale.net.HttpStatus
import topazvale.net.PoolSettings
import topazvale.wire.Change
import topazvale.wire.Condition
import topazvale.wire.Entry
import topazvale.wire.Events
import topazvale.wire.MalformedException
import topazvale.wire.Page
import topazvale.wire.StateWire
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The [StateService] over HTTP. Lease calls have a connection pool of their own and take their tokens without waiting,
 * so that the load of other calls cannot cost the leader its lease.
 */
class HttpStateService(vertx: Vertx, private val address: Address, limits: StateLimits, nodes: Int) : StateService {
    private val log = LoggerFactory.getLogger(HttpStateService::class.java)
    private val limiter = RequestLimits(limits, nodes)

    // No more calls than this can be waiting whose time is not over yet.
    private val dataClient =
        Http(vertx, PoolSettings("state", maxConnections = 8, maxWaiting = limiter.maxRequestsIn(TIMEOUT)))
    private val leaseClient = Http(vertx, PoolSettings("leases", maxConnections = 2))
    private val watchClient = Http(vertx, PoolSettings("watches", maxConnections = 2))
    private var lastResponseAt: ComparableTimeMark = TimeSource.Monotonic.markNow()
    private var lastDataResponseAt: ComparableTimeMark = lastResponseAt

    override val timeSinceLastResponse: Duration get() = lastResponseAt.elapsedNow()
    override val timeSinceLastDataResponse: Duration get() = lastDataResponseAt.elapsedNow()

    override suspend fun get(key: String): Outcome<Entry> {
        if (!limiter.tryAcquire()) return Outcome.Refused
        return outcome(call(dataClient, HttpMethod.GET, "/kv/$key", null)) { StateWire.decodeEntry(it) }
    }

    override suspend fun list(prefix: String, after: String?): Outcome<Page> {
        limiter.acquire()
        val sinceParameter = if (after == null) "" else "&since=$after"
        return outcome(
            call(dataClient, HttpMethod.GET, "/kv?under=$prefix$sinceParameter&limit=$PAGE_SIZE", null),
        ) { StateWire.decodePage(it) }
    }

    override suspend fun commit(conditions: List<Condition>, changes: List<Change>, urgent: Boolean): Commit {
        if (urgent) {
            limiter.acquire(changes.size)
        } else if (!limiter.tryAcquire(changes.size)) {
            return Commit.Refused
        }
        return commitOutcome(
            call(dataClient, HttpMethod.POST, "/commit", StateWire.encodeTransaction(conditions, changes)),
        )
    }

    private fun commitOutcome(response: HttpResponse?): Commit = try {
        when (response?.status) {
            null -> Commit.Unknown
            HttpStatus.OK -> Commit.Done(StateWire.decodeRevision(response.body))
            HttpStatus.CONFLICT -> Commit.Failed(StateWire.decodeFailedKeys(response.body))
            HttpStatus.BAD_REQUEST -> if (StateWire.isLeaseGone(response.body)) Commit.LeaseGone else Commit.Invalid
            HttpStatus.CONTENT_TOO_LARGE -> Commit.Invalid
            HttpStatus.TOO_MANY_REQUESTS, HttpStatus.UNAVAILABLE -> Commit.Refused
            else -> Commit.Unknown
        }
    } catch (e: MalformedException) {
        log.warn("the response to a transaction cannot be read: {}", e.message)
        Commit.Unknown
    }

    override suspend fun grant(ttl: Duration): Outcome<Long> {
        limiter.acquireImmediately()
        return outcome(
            call(leaseClient, HttpMethod.POST, "/grants", StateWire.encodeLeaseRequest(ttl.inWholeMilliseconds)),
        ) {
            StateWire.decodeLease(it)
        }
    }

    override suspend fun renew(lease: Long): Outcome<Unit> {
        limiter.acquireImmediately()
        return outcome(call(leaseClient, HttpMethod.POST, "/grants/$lease/touch", null, RENEWAL_TIMEOUT)) { }
    }

    override suspend fun watch(prefix: String, since: Long, wait: Duration): Outcome<Events> {
        limiter.acquireImmediately()
        val path = "/watch?under=$prefix&since=$since&waitMs=${wait.inWholeMilliseconds}"
        return outcome(call(watchClient, HttpMethod.GET, path, null, wait + TIMEOUT)) { StateWire.decodeEvents(it) }
    }

    private suspend fun call(
        http: Http,
        method: HttpMethod,
        path: String,
        body: ByteArray?,
        timeout: Duration = TIMEOUT,
    ): HttpResponse? {
        val response = http.call(address, Call(method, path, body, timeout))
        if (response != null && !isRefusal(response)) recordResponse(isData = http === dataClient)
        return response
    }

    private fun recordResponse(isData: Boolean) {
        lastResponseAt = TimeSource.Monotonic.markNow()
        if (isData) lastDataResponseAt = lastResponseAt
    }

    private fun isRefusal(response: HttpResponse) =
        response.status == HttpStatus.TOO_MANY_REQUESTS || response.status == HttpStatus.UNAVAILABLE

    private fun <T> outcome(response: HttpResponse?, decode: (ByteArray) -> T): Outcome<T> = when {
        response == null -> Outcome.Unknown

        response.status == HttpStatus.OK -> try {
            Outcome.Ok(decode(response.body))
        } catch (e: MalformedException) {
            log.warn("a response of the state service cannot be read: {}", e.message)
            Outcome.Unknown
        }

        isRefusal(response) -> Outcome.Refused

        // Only 404 and 410 mean that the item does not exist. No other status may be reported to a user as a missing
        // job.
        response.status == HttpStatus.NOT_FOUND || response.status == HttpStatus.GONE -> Outcome.Gone

        else -> Outcome.Unknown
    }

    private companion object {
        const val PAGE_SIZE = 500
        val TIMEOUT = 2.seconds
        val RENEWAL_TIMEOUT = 1.seconds
    }
}
