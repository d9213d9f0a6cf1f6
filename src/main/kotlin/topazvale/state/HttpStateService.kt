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
import topazvale.net.TokenBucket
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
 * The state service over HTTP. Renewals have connections of their own and take their tokens without waiting, so that
 * no amount of other work can cost the leader its lease.
 */
class HttpStateService(vertx: Vertx, private val address: Address, limits: StateLimits, nodes: Int) : StateService {
    private val log = LoggerFactory.getLogger(HttpStateService::class.java)
    private val calls = Http(vertx, maxConnections = 8, connectTimeout = 1.seconds)
    private val renewals = Http(vertx, maxConnections = 2, connectTimeout = 1.seconds)
    private val watches = Http(vertx, maxConnections = 2, connectTimeout = 1.seconds)

    // Any node may at times do most of the work, so that each has more than its even share; a 429 tells of the rest.
    private val requests = limits.rps.let { TokenBucket(it * share(nodes), it * share(nodes) / 2) }
    private val writes = limits.writeRps.let { TokenBucket(it * share(nodes), it * share(nodes)) }
    private var lastAnswer: ComparableTimeMark = TimeSource.Monotonic.markNow()

    override val timeSinceLastResponse: Duration get() = lastAnswer.elapsedNow()

    override suspend fun get(key: String): Outcome<Entry> {
        if (!admit(0)) return Outcome.Refused
        return outcome(call(calls, HttpMethod.GET, "/kv/$key", null)) { StateWire.entry(it) }
    }

    override suspend fun list(prefix: String, after: String?): Outcome<Page> {
        requests.acquire()
        val since = if (after == null) "" else "&since=$after"
        return outcome(call(calls, HttpMethod.GET, "/kv?under=$prefix$since&limit=$PAGE", null)) { StateWire.page(it) }
    }

    override suspend fun commit(conditions: List<Condition>, changes: List<Change>, urgent: Boolean): Commit {
        if (urgent) {
            requests.acquire()
            writes.acquire(changes.size)
        } else if (!admit(changes.size)) {
            return Commit.Refused
        }
        return commitOutcome(call(calls, HttpMethod.POST, "/commit", StateWire.transaction(conditions, changes)))
    }

    private fun commitOutcome(reply: HttpResponse?): Commit = try {
        when (reply?.status) {
            null -> Commit.Unknown
            HttpStatus.OK -> Commit.Done(StateWire.revision(reply.body))
            HttpStatus.CONFLICT -> Commit.Failed(StateWire.failed(reply.body))
            HttpStatus.BAD_REQUEST -> if (StateWire.leaseGone(reply.body)) Commit.LeaseGone else Commit.Invalid
            HttpStatus.CONTENT_TOO_LARGE -> Commit.Invalid
            HttpStatus.TOO_MANY_REQUESTS, HttpStatus.UNAVAILABLE -> Commit.Refused
            else -> Commit.Unknown
        }
    } catch (e: MalformedException) {
        log.warn("the answer to a transaction cannot be read: {}", e.message)
        Commit.Unknown
    }

    override suspend fun grant(ttl: Duration): Outcome<Long> {
        requests.acquireImmediately()
        return outcome(call(renewals, HttpMethod.POST, "/grants", StateWire.grant(ttl.inWholeMilliseconds))) {
            StateWire.lease(it)
        }
    }

    override suspend fun renew(lease: Long): Outcome<Unit> {
        requests.acquireImmediately()
        return outcome(call(renewals, HttpMethod.POST, "/grants/$lease/touch", null, RENEW_LIMIT)) { }
    }

    override suspend fun watch(prefix: String, since: Long, wait: Duration): Outcome<Events> {
        requests.acquireImmediately()
        val path = "/watch?under=$prefix&since=$since&waitMs=${wait.inWholeMilliseconds}"
        return outcome(call(watches, HttpMethod.GET, path, null, wait + LIMIT)) { StateWire.events(it) }
    }

    private fun admit(changes: Int): Boolean =
        requests.waitTime() == Duration.ZERO && (changes == 0 || writes.tryAcquire(changes)) && requests.tryAcquire()

    private suspend fun call(
        http: Http,
        method: HttpMethod,
        path: String,
        body: ByteArray?,
        limit: Duration = LIMIT,
    ): HttpResponse? {
        val reply = http.call(address, Call(method, path, body, limit))
        if (reply != null && !isRefusal(reply)) lastAnswer = TimeSource.Monotonic.markNow()
        return reply
    }

    private fun isRefusal(reply: HttpResponse) =
        reply.status == HttpStatus.TOO_MANY_REQUESTS || reply.status == HttpStatus.UNAVAILABLE

    private fun <T> outcome(reply: HttpResponse?, read: (ByteArray) -> T): Outcome<T> = when {
        reply == null -> Outcome.Unknown

        reply.status == HttpStatus.OK -> try {
            Outcome.Ok(read(reply.body))
        } catch (e: MalformedException) {
            log.warn("an answer of the state service cannot be read: {}", e.message)
            Outcome.Unknown
        }

        isRefusal(reply) -> Outcome.Refused

        // Only these two say that something is not there: no other refusal may be told to a user as a missing job.
        reply.status == HttpStatus.NOT_FOUND || reply.status == HttpStatus.GONE -> Outcome.Gone

        else -> Outcome.Unknown
    }

    private companion object {
        const val PAGE = 500
        val LIMIT = 2.seconds
        val RENEW_LIMIT = 1.seconds

        const val SHARE_ALONE = 0.95
        const val SHARE_AMONG_OTHERS = 0.6

        fun share(nodes: Int) = if (nodes <= 1) SHARE_ALONE else SHARE_AMONG_OTHERS
    }
}
