package topazvale.api

import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import topazvale.config.Address
import topazvale.net.Sockets
import topazvale.wire.Cbor
import topazvale.wire.MalformedException
import topazvale.wire.WorkerWire
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Takes requests of users, workers and health checks. */
class Server(
    private val vertx: Vertx,
    private val scope: CoroutineScope,
    private val users: SubmissionApi,
    private val workers: ReportApi,
    private val healthy: () -> Boolean,
    private val sockets: Sockets,
    /** A connection on which nothing is asked for this long is closed: its caller is mostly gone without a word. */
    private val idle: Duration,
    private val metrics: Metrics,
) {
    private val log = LoggerFactory.getLogger(Server::class.java)

    suspend fun listen(at: Address): Int =
        vertx.createHttpServer(HttpServerOptions().setIdleTimeout(idle.inWholeSeconds.toInt()))
            .connectionHandler(sockets::count)
            .requestHandler(::handle)
            .listen(at.port, at.host).coAwait().actualPort()

    private fun handle(request: HttpServerRequest) {
        val began = TimeSource.Monotonic.markNow()
        // The body's handler has to be in place before this call returns.
        scope.launch(start = CoroutineStart.UNDISPATCHED) {
            val answer = try {
                val body = request.bodyUpTo(BODY_LIMIT)
                if (body ==
                    null
                ) {
                    Answer(413, Cbor.encode(mapOf("error" to "body too large")), close = true)
                } else {
                    route(request.method(), request.path().orEmpty(), body)
                }
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                log.error("cannot answer {} {}", request.method(), request.path(), e)
                Answer.error(500, "internal error")
            }
            val kind = kind(request.path().orEmpty())
            request.response().send(answer, close = answer.close || (kind == USERS && sockets.scarce))
            metrics.answered(kind, answer.status, began.elapsedNow())
        }
    }

    private suspend fun route(method: HttpMethod, path: String, body: ByteArray): Answer {
        val parts = path.removePrefix("/").split('/')
        return when {
            path == "/healthz" -> only(method, HttpMethod.GET) {
                if (healthy()) {
                    Answer.of(
                        200,
                        mapOf("ok" to true),
                    )
                } else {
                    Answer.later("the state service does not answer")
                }
            }

            path == "/metrics" -> only(method, HttpMethod.GET) {
                Answer(200, metrics.text().toByteArray(), type = "text/plain")
            }

            path == "/agent/beat" -> only(method, HttpMethod.POST) { beat(body) }

            path == "/submissions" -> only(method, HttpMethod.POST) { users.submit(body) }

            parts[0] == "submissions" && parts.size == 2 -> only(method, HttpMethod.GET) { users.poll(parts[1]) }

            parts[0] == "submissions" && parts.size == 3 && parts[2] == "abort" ->
                only(method, HttpMethod.POST) { users.cancel(parts[1]) }

            else -> Answer.error(404, "no such path")
        }
    }

    private inline fun only(method: HttpMethod, allowed: HttpMethod, answer: () -> Answer): Answer =
        if (method == allowed) answer() else Answer.error(405, "method not allowed")

    private fun beat(body: ByteArray): Answer = try {
        workers.report(WorkerWire.report(body))
    } catch (e: MalformedException) {
        Answer.error(400, e.message.orEmpty())
    }

    private fun kind(path: String) = when {
        path.startsWith("/submissions") -> USERS
        path == "/agent/beat" || path == "/healthz" || path == "/metrics" -> path.removePrefix("/")
        else -> "other"
    }

    private companion object {
        const val BODY_LIMIT = 64 * 1024
        const val USERS = "submissions"
    }
}
