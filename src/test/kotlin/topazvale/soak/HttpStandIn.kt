package topazvale.soak

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import topazvale.wire.Cbor
import topazvale.wire.MalformedException

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

/** What a stand-in answers. */
class StandInAnswer(val status: Int, val body: ByteArray) {
    constructor(status: Int, fields: Map<String, Any?>) : this(status, Cbor.encode(fields))
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
            response.setStatusCode(answer.status).end(Buffer.buffer(answer.body))
        }
    }

    companion object {
        const val LOOPBACK = "127.0.0.1"
    }
}
