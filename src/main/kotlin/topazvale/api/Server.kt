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
import topazvale.supervision.SupervisedScope
import topazvale.wire.Cbor
import topazvale.wire.MalformedException
import topazvale.wire.WorkerWire
import kotlin.time.Duration
import kotlin.time.TimeSource

/** What answers the requests of each kind of caller. */
class Handlers(val submissions: SubmissionApi, val reports: ReportApi, val healthy: () -> Boolean)

/**
 * Takes requests of users, workers and health checks over HTTP, on the event loop of [scope].
 *
 * A connection on which nothing is asked for as long as [idleTimeout] is closed: its caller is mostly gone silently.
 */
class Server(
    private val vertx: Vertx,
    private val scope: SupervisedScope,
    private val handlers: Handlers,
    private val sockets: Sockets,
    private val idleTimeout: Duration,
    private val metrics: Metrics,
) {

    /** The port on which requests are taken from now on. */
    suspend fun listen(at: Address): Int {
        val options = HttpServerOptions().setIdleTimeout(idleTimeout.inWholeSeconds.toInt())
        return vertx.createHttpServer(options)
            .connectionHandler(sockets::track)
            .requestHandler(::handle)
            .listen(at.port, at.host).coAwait().actualPort()
    }

    private fun handle(request: HttpServerRequest) {
        val began = TimeSource.Monotonic.markNow()
        // The body's handler has to be in place before this call returns.
        scope.scope.launch(start = CoroutineStart.UNDISPATCHED) {
            val answer = answer(request)
            val kind = kind(request.path().orEmpty())
            request.response().send(answer, close = answer.close || (kind == USERS && sockets.isScarce))
            metrics.answered(kind, answer.status, began.elapsedNow())
        }
    }

    private suspend fun answer(request: HttpServerRequest): ApiResponse = try {
        val body = request.bodyUpTo(BODY_LIMIT)
        if (body == null) TOO_LARGE else route(request.method(), request.path().orEmpty(), body)
    } catch (e: CancellationException) {
        throw e
    } catch (
        // Whatever fails, the caller gets an answer.
        @Suppress("TooGenericExceptionCaught") e: Throwable,
    ) {
        scope.reportFailure("request of ${kind(request.path().orEmpty())}", e)
        ApiResponse.error(HttpStatus.INTERNAL_ERROR, "internal error")
    }

    private suspend fun route(method: HttpMethod, path: String, body: ByteArray): ApiResponse = when (path) {
        "/healthz" -> only(method, HttpMethod.GET) { health() }
        "/metrics" -> only(method, HttpMethod.GET) { metrics() }
        "/agent/beat" -> only(method, HttpMethod.POST) { report(body) }
        "/submissions" -> only(method, HttpMethod.POST) { handlers.submissions.submit(body) }
        else -> routeJob(method, path.removePrefix("/").split('/'))
    }

    private suspend fun routeJob(method: HttpMethod, parts: List<String>): ApiResponse {
        val id = parts.getOrNull(1)
        return when {
            parts.first() != "submissions" || id == null -> NO_SUCH_PATH

            parts.size == POLL_PARTS -> only(method, HttpMethod.GET) { handlers.submissions.poll(id) }

            parts.size == CANCEL_PARTS && parts.last() == "abort" ->
                only(method, HttpMethod.POST) { handlers.submissions.cancel(id) }

            else -> NO_SUCH_PATH
        }
    }

    private inline fun only(method: HttpMethod, allowed: HttpMethod, answer: () -> ApiResponse): ApiResponse =
        if (method == allowed) answer() else ApiResponse.error(HttpStatus.METHOD_NOT_ALLOWED, "method not allowed")

    private fun health(): ApiResponse = if (handlers.healthy()) {
        ApiResponse.of(HttpStatus.OK, mapOf("ok" to true))
    } else {
        ApiResponse.retryLater("the state service does not answer")
    }

    private fun metrics() = ApiResponse(HttpStatus.OK, metrics.text().toByteArray(), type = "text/plain")

    private fun report(body: ByteArray): ApiResponse = try {
        handlers.reports.report(WorkerWire.decodeReport(body))
    } catch (e: MalformedException) {
        ApiResponse.error(HttpStatus.BAD_REQUEST, e.message.orEmpty())
    }

    private fun kind(path: String) = when {
        path.startsWith("/submissions") -> USERS
        path == "/agent/beat" || path == "/healthz" || path == "/metrics" -> path.removePrefix("/")
        else -> "other"
    }

    private companion object {
        const val BODY_LIMIT = 64 * 1024
        const val USERS = "submissions"

        /** `submissions/{id}` and `submissions/{id}/abort`. */
        const val POLL_PARTS = 2
        const val CANCEL_PARTS = 3
        val NO_SUCH_PATH = ApiResponse.error(HttpStatus.NOT_FOUND, "no such path")
        val TOO_LARGE =
            ApiResponse(HttpStatus.CONTENT_TOO_LARGE, Cbor.encode(mapOf("error" to "body too large")), close = true)
    }
}
