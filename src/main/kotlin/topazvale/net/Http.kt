package topazvale.net

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import topazvale.config.Address
import kotlin.time.Duration

data class Reply(val status: Int, val body: ByteArray)

/** Requests with a time limit. No reply (null) means that the request may or may not have been carried out. */
class Http(
    vertx: Vertx,
    connections: Int,
    connectTimeout: Duration,
    keepAliveS: Int = KEEP_ALIVE_S,
    connected: (HttpConnection) -> Unit = {},
) {
    private val client: HttpClient = vertx.httpClientBuilder()
        .with(
            HttpClientOptions()
                .setKeepAlive(true)
                .setKeepAliveTimeout(keepAliveS)
                .setConnectTimeout(connectTimeout.inWholeMilliseconds.toInt()),
        )
        .with(PoolOptions().setHttp1MaxSize(connections))
        .withConnectHandler(connected)
        .build()

    suspend fun call(
        to: Address,
        method: HttpMethod,
        path: String,
        body: ByteArray?,
        limit: Duration,
        /** Asked again as the request is about to leave: a process may have stood still since it was begun. */
        wanted: () -> Boolean = { true },
    ): Reply? = withTimeoutOrNull(limit) {
        val options = RequestOptions().setHost(to.host).setPort(to.port).setMethod(method).setURI(path)
        try {
            val request = client.request(options).coAwait()
            if (!wanted()) {
                request.reset()
                return@withTimeoutOrNull null
            }
            try {
                val sent = if (body == null) request.send() else request.send(Buffer.buffer(body))
                // The body is asked for as its head arrives: a caller on another thread would come too late for it.
                sent.compose { response -> response.body().map { Reply(response.statusCode(), it.bytes) } }.coAwait()
            } catch (e: CancellationException) {
                // The connection may still deliver the answer to a request given up: it must not be used again.
                request.connection()?.close()
                throw e
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            null
        }
    }

    fun close() {
        client.close()
    }

    private companion object {
        const val KEEP_ALIVE_S = 60
    }
}
