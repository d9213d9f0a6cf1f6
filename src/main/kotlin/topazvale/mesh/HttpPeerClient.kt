package topazvale.mesh

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerOptions
import io.vertx.kotlin.coroutines.coAwait
import topazvale.config.Address
import topazvale.config.Seed
import topazvale.net.Http
import kotlin.time.Duration.Companion.seconds

class HttpPeerClient(vertx: Vertx) : PeerClient {
    private val http = Http(vertx, connections = 1, connectTimeout = 1.seconds)

    override suspend fun status(of: Seed): ByteArray? =
        http.call(of.mesh, HttpMethod.GET, "/word", null, LIMIT)?.takeIf { it.status == 200 }?.body

    private companion object {
        val LIMIT = 1.seconds
    }
}

/** Answers the other nodes with [own]. */
suspend fun servePeerStatus(vertx: Vertx, at: Address, own: () -> PeerStatus): Int =
    vertx.createHttpServer(HttpServerOptions().setIdleTimeout(IDLE_S))
        .requestHandler { it.response().end(Buffer.buffer(own().bytes())) }
        .listen(at.port, at.host).coAwait().actualPort()

private const val IDLE_S = 30
