package topazvale.api

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import io.vertx.kotlin.coroutines.coAwait
import topazvale.net.HttpStatus
import topazvale.wire.Cbor

/** An HTTP response that has not been sent yet. */
class ApiResponse(
    val status: Int,
    val body: ByteArray,
    val retryAfterS: Int? = null,
    val contentType: String = "application/cbor",
    /** Closes the connection after the response, so that the client reconnects, possibly to another node. */
    val closeConnection: Boolean = false,
) {
    companion object {
        /** A response with a CBOR body. */
        fun of(status: Int, body: Map<String, Any?>) = ApiResponse(status, Cbor.encode(body))

        /** An error response whose body holds [message]. */
        fun error(status: Int, message: String) = of(status, mapOf("error" to message))

        /** 503 with `Retry-After`: the request cannot be answered at the moment. */
        fun retryLater(message: String, closeConnection: Boolean = false) = ApiResponse(
            HttpStatus.UNAVAILABLE,
            Cbor.encode(mapOf("error" to message)),
            retryAfterS = 1,
            closeConnection = closeConnection,
        )
    }
}

/** Sends [response], unless the client has closed the connection. */
internal fun HttpServerResponse.send(response: ApiResponse, closeConnection: Boolean) {
    if (ended() || closed()) return
    statusCode = response.status
    response.retryAfterS?.let { putHeader("Retry-After", it.toString()) }
    if (closeConnection) putHeader("Connection", "close")
    putHeader("Content-Type", response.contentType)
    end(Buffer.buffer(response.body))
}

/** The body, or null if it exceeds [limit]. At most [limit] bytes are held in memory. */
internal suspend fun HttpServerRequest.readBodyUpTo(limit: Int): ByteArray? {
    val contentLength = getHeader("Content-Length")?.toLongOrNull() ?: 0
    if (contentLength > limit) return null
    var size = 0
    val buffer = Buffer.buffer(contentLength.toInt())
    handler { chunk ->
        size += chunk.length()
        if (size <= limit) buffer.appendBuffer(chunk)
    }
    end().coAwait()
    return if (size <= limit) buffer.bytes else null
}
