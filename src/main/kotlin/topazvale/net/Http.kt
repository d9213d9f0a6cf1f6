package topazvale.net

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import topazvale.config.Address
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A request with the time after which the client stops waiting for its response. */
class Call(val method: HttpMethod, val path: String, val body: ByteArray?, val timeout: Duration)

/** The response to a [Call]. */
class HttpResponse(val status: Int, val body: ByteArray)

/**
 * An HTTP client's pool of keep-alive connections to each address. [name] is the client's name in metrics and logs.
 *
 * A call that finds [maxWaiting] others waiting for a connection ends at once.
 */
class PoolSettings(
    val name: String,
    val maxConnections: Int,
    val maxWaiting: Int = 256,
    val connectTimeout: Duration = 1.seconds,
    val keepAlive: Duration = 60.seconds,
)

/**
 * An HTTP client with a pool of connections to each address and a timeout for each request. Where it returns null
 * instead of a response, the request may or may not have been carried out. Calls are made on the event loop.
 *
 * [listener] is told of each connection that is opened or closed.
 */
class Http(vertx: Vertx, private val pool: PoolSettings, listener: ConnectionListener? = null) {
    private val log = LoggerFactory.getLogger(Http::class.java)
    private val metrics = CallMetrics(pool.name)
    private val client: HttpClient = vertx.httpClientBuilder()
        .with(
            HttpClientOptions()
                .setKeepAlive(true)
                .setKeepAliveTimeout(pool.keepAlive.inWholeSeconds.toInt())
                .setConnectTimeout(pool.connectTimeout.inWholeMilliseconds.toInt()),
        )
        .with(PoolOptions().setHttp1MaxSize(pool.maxConnections).setMaxWaitQueueSize(pool.maxWaiting))
        .withConnectHandler { listOfNotNull(metrics, listener).notifyOf(it) }
        .build()

    /**
     * Returns the response, or null if none arrives within the call's timeout. The [precondition] is evaluated just
     * before the request is sent, as the process may have been suspended since the call began. A request whose
     * precondition does not hold is not sent.
     */
    suspend fun call(address: Address, call: Call, precondition: () -> Boolean = { true }): HttpResponse? =
        withTimeoutOrNull(call.timeout) {
            attempt(CallPhase.CONNECTION, address) { acquire(optionsFor(address, call)) }?.let {
                attempt(CallPhase.RESPONSE, address) { sendIf(precondition, it, call.body) }
            }
        }

    /**
     * Returns the result of a phase, or null if it fails: a refused or reset connection and a malformed response all
     * count as no response.
     */
    private suspend fun <T> attempt(phase: CallPhase, address: Address, block: suspend () -> T): T? = try {
        metrics.during(phase) { block() }
    } catch (e: CancellationException) {
        recordUnanswered(phase, address, "not in time")
        throw e
    } catch (
        @Suppress("TooGenericExceptionCaught") e: Exception,
    ) {
        recordUnanswered(phase, address, e.toString())
        null
    }

    private fun recordUnanswered(phase: CallPhase, address: Address, reason: String) {
        metrics.unanswered(phase)
        log.debug("{}: no {} from {}: {}", pool.name, phase, address, reason)
    }

    private fun optionsFor(address: Address, call: Call) = RequestOptions()
        .setHost(address.host)
        .setPort(address.port)
        .setMethod(call.method)
        .setURI(call.path)

    /** Waits for a connection of the pool. */
    private suspend fun acquire(options: RequestOptions): HttpClientRequest {
        val pending = client.request(options)
        try {
            return pending.coAwait()
        } catch (e: CancellationException) {
            // The pool knows nothing of the caller's end and may still assign a connection to the request.
            pending.onSuccess(::discard)
            throw e
        }
    }

    /** Returns the connection of a request that has not been sent to the pool. */
    private fun discard(request: HttpClientRequest) {
        // Without a handler the library logs the reset as an error.
        request.exceptionHandler { }
        request.reset()
    }

    private suspend fun sendIf(
        precondition: () -> Boolean,
        request: HttpClientRequest,
        body: ByteArray?,
    ): HttpResponse? {
        var isSent = false
        try {
            if (!precondition()) return null
            isSent = true
            return send(request, body)
        } finally {
            if (!isSent) discard(request)
        }
    }

    private suspend fun send(request: HttpClientRequest, body: ByteArray?): HttpResponse {
        // The body is requested in the handler of the response head: a caller on another thread would be too late for
        // it.
        val pending = (if (body == null) request.send() else request.send(Buffer.buffer(body)))
            .compose { response -> response.body().map { HttpResponse(response.statusCode(), it.bytes) } }
        try {
            return pending.coAwait()
        } catch (e: CancellationException) {
            // Until the response has arrived the connection must not be reused; afterwards it may serve another call.
            if (!pending.isComplete) request.connection()?.close()
            throw e
        }
    }

    /** Closes all connections. */
    fun close() {
        client.close()
    }
}
