package topazvale.net

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import topazvale.config.Address
import kotlin.time.Duration

/** A request with the time after which the client stops waiting for its response. */
class Call(val method: HttpMethod, val path: String, val body: ByteArray?, val timeout: Duration)

/** The response to a [Call]. */
class HttpResponse(val status: Int, val body: ByteArray)

/**
 * An HTTP client with a pool of keep-alive connections and a timeout for each request. Where it returns null instead of
 * a response, the request may or may not have been carried out.
 */
class Http(
    vertx: Vertx,
    maxConnections: Int,
    connectTimeout: Duration,
    keepAliveS: Int = KEEP_ALIVE_S,
    onConnect: (HttpConnection) -> Unit = {},
) {
    private val log = LoggerFactory.getLogger(Http::class.java)
    private val client: HttpClient = vertx.httpClientBuilder()
        .with(
            HttpClientOptions()
                .setKeepAlive(true)
                .setKeepAliveTimeout(keepAliveS)
                .setConnectTimeout(connectTimeout.inWholeMilliseconds.toInt()),
        )
        .with(PoolOptions().setHttp1MaxSize(maxConnections))
        .withConnectHandler(onConnect)
        .build()

    /**
     * Returns the response, or null if none arrives within the call's timeout. The [precondition] is evaluated just
     * before the request is sent, as the process may have been suspended since the call began. A request whose
     * precondition does not hold is not sent.
     */
    suspend fun call(address: Address, call: Call, precondition: () -> Boolean = { true }): HttpResponse? =
        withTimeoutOrNull(call.timeout) {
            val options = RequestOptions()
                .setHost(address.host)
                .setPort(address.port)
                .setMethod(call.method)
                .setURI(call.path)
            try {
                val request = client.request(options).coAwait()
                if (precondition()) {
                    send(request, call.body)
                } else {
                    request.reset()
                    null
                }
            } catch (e: CancellationException) {
                throw e
            } catch (
                // A refused or reset connection and a malformed response all count as no response.
                @Suppress("TooGenericExceptionCaught") e: Exception,
            ) {
                log.debug("no response from {}: {}", address, e.toString())
                null
            }
        }

    private suspend fun send(request: HttpClientRequest, body: ByteArray?): HttpResponse = try {
        val pendingResponse = if (body == null) request.send() else request.send(Buffer.buffer(body))
        // The body is requested in the handler of the response head: a caller on another thread would be too late for
        // it.
        pendingResponse
            .compose { response -> response.body().map { HttpResponse(response.statusCode(), it.bytes) } }
            .coAwait()
    } catch (e: CancellationException) {
        // The connection may still deliver the response to the cancelled request, so it must not be reused.
        request.connection()?.close()
        throw e
    }

    /** Closes all connections. */
    fun close() {
        client.close()
    }

    private companion object {
        const val KEEP_ALIVE_S = 60
    }
}
