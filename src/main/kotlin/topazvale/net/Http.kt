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

/** A request and how long its reply is waited for. */
class Call(val method: HttpMethod, val path: String, val body: ByteArray?, val limit: Duration)

/** The response to a [Call]. */
class HttpResponse(val status: Int, val body: ByteArray)

/** Requests with a time limit. No reply (null) means that the request may or may not have been carried out. */
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
     * The reply, or null where none came within the call's limit. [precondition] is asked again as the request is about
     * to leave: a process may have stood still since it was begun.
     */
    suspend fun call(to: Address, call: Call, precondition: () -> Boolean = { true }): HttpResponse? =
        withTimeoutOrNull(call.limit) {
            val options = RequestOptions().setHost(to.host).setPort(to.port).setMethod(call.method).setURI(call.path)
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
                // Refused, reset or garbled: all that counts is that no reply came.
                @Suppress("TooGenericExceptionCaught") e: Exception,
            ) {
                log.debug("no reply from {}: {}", to, e.toString())
                null
            }
        }

    private suspend fun send(request: HttpClientRequest, body: ByteArray?): HttpResponse = try {
        val sent = if (body == null) request.send() else request.send(Buffer.buffer(body))
        // The body is asked for as its head arrives: a caller on another thread would come too late for it.
        sent.compose { response -> response.body().map { HttpResponse(response.statusCode(), it.bytes) } }.coAwait()
    } catch (e: CancellationException) {
        // The connection may still deliver the answer to a request given up: it must not be used again.
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
