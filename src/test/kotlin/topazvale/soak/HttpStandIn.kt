package topazvale.soak

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import topazvale.wire.Cbor
import topazvale.wire.MalformedException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A request to a stand-in server. */
class StandInRequest(
    val method: HttpMethod,
    val path: String,
    private val query: Map<String, String>,
    body: ByteArray,
) {
    /** The fields of the body; empty if the body is empty or not CBOR. */
    val fields: Map<String, Any?> = try {
        if (body.isEmpty()) emptyMap() else Cbor.decodeMap(body)
    } catch (ignored: MalformedException) {
        emptyMap()
    }

    /** The query parameter [name], or [default] if it is absent. */
    fun parameter(name: String, default: String = "") = query[name] ?: default
}

/** The response of a stand-in server; its body follows [paddingMb] megabytes of meaningless padding. */
class StandInResponse(val status: Int, val body: ByteArray, val paddingMb: Int = 0) {
    constructor(status: Int, fields: Map<String, Any?>, paddingMb: Int = 0) :
        this(status, Cbor.encode(fields), paddingMb)
}

/** An HTTP server on a free port of the loopback interface. If [respond] returns null, the caller gets no response. */
class HttpStandIn(
    private val vertx: Vertx,
    private val scope: CoroutineScope,
    private val respond: suspend (StandInRequest) -> StandInResponse?,
) {
    /** Supplies the delay after which a copy of an answered request that may change something arrives; null: no copy. */
    var copyDelay: () -> Duration? = { null }

    /** Starts listening and returns the port. */
    suspend fun listen(): Int =
        vertx.createHttpServer().requestHandler(::handle).listen(0, LOOPBACK).coAwait().actualPort()

    private fun handle(request: HttpServerRequest) {
        scope.launch(start = CoroutineStart.UNDISPATCHED) {
            val body = request.body().coAwait().bytes
            val query = request.params().associate { it.key to it.value }
            val received = StandInRequest(request.method(), request.path().orEmpty(), query, body)
            val response = respond(received)
            val httpResponse = request.response()
            if (response != null && received.method != HttpMethod.GET) copyDelay()?.let { deliverCopy(received, it) }
            if (response == null || httpResponse.ended() || httpResponse.closed()) return@launch
            httpResponse.setStatusCode(response.status)
            if (response.paddingMb > 0) pad(httpResponse, response.paddingMb)
            if (!httpResponse.closed()) httpResponse.end(Buffer.buffer(response.body))
        }
    }

    private fun deliverCopy(request: StandInRequest, delay: Duration) {
        scope.launch {
            delay(delay)
            respond(request)
        }
    }

    /** Writes padding before the body, so that the response exceeds the memory of the caller. */
    private suspend fun pad(response: HttpServerResponse, megabytes: Int) {
        response.isChunked = true
        val block = Buffer.buffer(ByteArray(MEGABYTE))
        repeat(megabytes) {
            while (!response.closed() && response.writeQueueFull()) delay(1.milliseconds)
            if (response.closed()) return
            response.write(block)
        }
    }

    companion object {
        const val LOOPBACK = "127.0.0.1"
        private const val MEGABYTE = 1024 * 1024
    }
}
