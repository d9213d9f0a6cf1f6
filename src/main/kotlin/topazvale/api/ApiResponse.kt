package topazvale.api

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import io.vertx.kotlin.coroutines.coAwait
import topazvale.net.HttpStatus
import topazvale.wire.Cbor

/** An HTTP response before it is sent. */
class ApiResponse(
    val status: Int,
    val body: ByteArray,
    val retryAfterS: Int? = null,
    val type: String = "application/cbor",
    /** The caller does better to come back over another connection, which may lead to another node. */
    val close: Boolean = false,
) {
    companion object {
        /** A response with a CBOR body. */
        fun of(status: Int, body: Map<String, Any?>) = ApiResponse(status, Cbor.encode(body))

        /** A response that says what is wrong with the request. */
        fun error(status: Int, message: String) = of(status, mapOf("error" to message))

        /** Nothing can be said now; the caller learns when to come back. */
        fun retryLater(message: String, close: Boolean = false) =
            ApiResponse(HttpStatus.UNAVAILABLE, Cbor.encode(mapOf("error" to message)), retryAfterS = 1, close = close)
    }
}

/** Sends [answer], unless the caller has gone meanwhile. */
internal fun HttpServerResponse.send(answer: ApiResponse, close: Boolean) {
    if (ended() || closed()) return
    statusCode = answer.status
    answer.retryAfterS?.let { putHeader("Retry-After", it.toString()) }
    if (close) putHeader("Connection", "close")
    putHeader("Content-Type", answer.type)
    end(Buffer.buffer(answer.body))
}

/** The body, or null where it is over [limit]; what is over is never held in memory. */
internal suspend fun HttpServerRequest.bodyUpTo(limit: Int): ByteArray? {
    val announced = getHeader("Content-Length")?.toLongOrNull() ?: 0
    if (announced > limit) return null
    var size = 0
    val collected = Buffer.buffer(announced.toInt())
    handler { part ->
        size += part.length()
        if (size <= limit) collected.appendBuffer(part)
    }
    end().coAwait()
    return if (size <= limit) collected.bytes else null
}
