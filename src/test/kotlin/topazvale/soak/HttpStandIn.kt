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
import kotlin.time.Duration.Companion.milliseconds

/** A request to a stand-in. */
class StandInRequest(
    val method: HttpMethod,
    val path: String,
    private val query: Map<String, String>,
    body: ByteArray,
) {
    /** The body's fields; none where it is empty or not CBOR. */
    val fields: Map<String, Any?> = try {
        if (body.isEmpty()) emptyMap() else Cbor.decodeMap(body)
    } catch (ignored: MalformedException) {
        emptyMap()
    }

    /** A parameter of the request's address, or [default]. */
    fun parameter(name: String, default: String = "") = query[name] ?: default
}

/** What a stand-in answers, after [paddingMb] megabytes that mean nothing. */
class StandInAnswer(val status: Int, val body: ByteArray, val paddingMb: Int = 0) {
    constructor(status: Int, fields: Map<String, Any?>, paddingMb: Int = 0) :
        this(status, Cbor.encode(fields), paddingMb)
}

/** An HTTP server on a free port of the loopback; where [answer] gives null the caller gets no answer at all. */
class HttpStandIn(
    private val vertx: Vertx,
    private val scope: CoroutineScope,
    private val answer: suspend (StandInRequest) -> StandInAnswer?,
) {
    /** Starts listening; the port. */
    suspend fun listen(): Int =
        vertx.createHttpServer().requestHandler(::handle).listen(0, LOOPBACK).coAwait().actualPort()

    private fun handle(request: HttpServerRequest) {
        scope.launch(start = CoroutineStart.UNDISPATCHED) {
            val body = request.body().coAwait().bytes
            val query = request.params().associate { it.key to it.value }
            val answer = answer(StandInRequest(request.method(), request.path().orEmpty(), query, body))
            val response = request.response()
            if (answer == null || response.ended() || response.closed()) return@launch
            response.setStatusCode(answer.status)
            if (answer.paddingMb > 0) pad(response, answer.paddingMb)
            if (!response.closed()) response.end(Buffer.buffer(answer.body))
        }
    }

    /** More than the caller has memory for comes before the answer. */
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
