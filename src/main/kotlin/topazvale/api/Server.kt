package topazvale.api

import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import topazvale.config.Address
import topazvale.net.HttpStatus
import topazvale.net.Sockets
import topazvale.net.notifyOf
import topazvale.supervision.SupervisedScope
import topazvale.wire.Cbor
import topazvale.wire.MalformedException
import topazvale.wire.WorkerWire
import kotlin.time.Duration
import kotlin.time.TimeSource

/** The request handlers for users, workers and health checks. */
class Handlers(val submissions: SubmissionApi, val reports: ReportApi, val healthy: () -> Boolean)

/**
 * HTTP server for users, workers and health checks, on the event loop of [scope].
 *
 * Connections without a request for [idleTimeout] are closed: most of their clients have disappeared without closing
 * them.
 */
class Server(
    private val vertx: Vertx,
    private val scope: SupervisedScope,
    private val handlers: Handlers,
    private val sockets: Sockets,
    private val idleTimeout: Duration,
    private val metrics: Metrics,
) {

    /** Starts the server and returns its port. */
    suspend fun listen(address: Address): Int {
        val options = HttpServerOptions().setIdleTimeout(idleTimeout.inWholeSeconds.toInt())
        return vertx.createHttpServer(options)
            .connectionHandler { listOf(sockets).notifyOf(it) }
            .requestHandler(::handle)
            .listen(address.port, address.host).coAwait().actualPort()
    }

    private fun handle(request: HttpServerRequest) {
        val startedAt = TimeSource.Monotonic.markNow()
        // Undispatched: the body handler must be installed before this function returns.
        scope.scope.launch(start = CoroutineStart.UNDISPATCHED) {
            val response = respond(request)
            val route = routeName(request.path().orEmpty())
            request.response().send(
                response,
                closeConnection = response.closeConnection || (route == USER_ROUTE && sockets.isScarce),
            )
            metrics.recordResponse(route, response.status, startedAt.elapsedNow())
        }
    }

    private suspend fun respond(request: HttpServerRequest): ApiResponse = try {
        val body = request.readBodyUpTo(MAX_BODY_BYTES)
        if (body == null) TOO_LARGE else route(request.method(), request.path().orEmpty(), body)
    } catch (e: CancellationException) {
        throw e
    } catch (
        // Any failure gets a 500 response.
        @Suppress("TooGenericExceptionCaught") e: Throwable,
    ) {
        scope.reportFailure("request of ${routeName(request.path().orEmpty())}", e)
        ApiResponse.error(HttpStatus.INTERNAL_ERROR, "internal error")
    }

    private suspend fun route(method: HttpMethod, path: String, body: ByteArray): ApiResponse = when (path) {
        "/healthz" -> allow(method, HttpMethod.GET) { healthResponse() }
        "/metrics" -> allow(method, HttpMethod.GET) { metricsResponse() }
        "/agent/beat" -> allow(method, HttpMethod.POST) { report(body) }
        "/submissions" -> allow(method, HttpMethod.POST) { handlers.submissions.submit(body) }
        else -> routeJob(method, path.removePrefix("/").split('/'))
    }

    private suspend fun routeJob(method: HttpMethod, segments: List<String>): ApiResponse {
        val id = segments.getOrNull(1)
        return when {
            segments.first() != "submissions" || id == null -> NO_SUCH_PATH

            segments.size == POLL_SEGMENTS -> allow(method, HttpMethod.GET) { handlers.submissions.poll(id) }

            segments.size == CANCEL_SEGMENTS && segments.last() == "abort" ->
                allow(method, HttpMethod.POST) { handlers.submissions.cancel(id) }

            else -> NO_SUCH_PATH
        }
    }

    private inline fun allow(method: HttpMethod, allowed: HttpMethod, respond: () -> ApiResponse): ApiResponse =
        if (method == allowed) respond() else ApiResponse.error(HttpStatus.METHOD_NOT_ALLOWED, "method not allowed")

    private fun healthResponse(): ApiResponse = if (handlers.healthy()) {
        ApiResponse.of(HttpStatus.OK, mapOf("ok" to true))
    } else {
        ApiResponse.retryLater("the state service does not answer")
    }

    private fun metricsResponse() =
        ApiResponse(HttpStatus.OK, metrics.render().toByteArray(), contentType = "text/plain")

    private fun report(body: ByteArray): ApiResponse = try {
        handlers.reports.report(WorkerWire.decodeReport(body))
    } catch (e: MalformedException) {
        ApiResponse.error(HttpStatus.BAD_REQUEST, e.message.orEmpty())
    }

    private fun routeName(path: String) = when {
        path.startsWith("/submissions") -> USER_ROUTE
        path == "/agent/beat" || path == "/healthz" || path == "/metrics" -> path.removePrefix("/")
        else -> "other"
    }

    private companion object {
        const val MAX_BODY_BYTES = 64 * 1024
        const val USER_ROUTE = "submissions"

        /** Path segments of `submissions/{id}` and of `submissions/{id}/abort`. */
        const val POLL_SEGMENTS = 2
        const val CANCEL_SEGMENTS = 3
        val NO_SUCH_PATH = ApiResponse.error(HttpStatus.NOT_FOUND, "no such path")
        val TOO_LARGE = ApiResponse(
            HttpStatus.CONTENT_TOO_LARGE,
            Cbor.encode(mapOf("error" to "body too large")),
            closeConnection = true,
        )
    }
}
