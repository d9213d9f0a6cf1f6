package topazvale.mesh

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerOptions
import io.vertx.kotlin.coroutines.coAwait
import topazvale.config.Address
import topazvale.config.Peer
import topazvale.net.Call
import topazvale.net.Http
import topazvale.net.HttpStatus
import kotlin.time.Duration.Companion.seconds

/** Asks peers for their status over HTTP. */
class HttpPeerClient(vertx: Vertx) : PeerClient {
    private val http = Http(vertx, maxConnections = 1, connectTimeout = 1.seconds)

    override suspend fun fetchStatus(peer: Peer): ByteArray? =
        http.call(peer.address, Call(HttpMethod.GET, PATH, null, LIMIT))?.takeIf { it.status == HttpStatus.OK }?.body

    private companion object {
        /** The name under which the production version asks for it as well. */
        const val PATH = "/word"
        val LIMIT = 1.seconds
    }
}

/** Answers peers with what [own] gives. */
suspend fun servePeerStatus(vertx: Vertx, at: Address, own: () -> PeerStatus): Int =
    vertx.createHttpServer(HttpServerOptions().setIdleTimeout(IDLE_S))
        .requestHandler { it.response().end(Buffer.buffer(own().encode())) }
        .listen(at.port, at.host).coAwait().actualPort()

private const val IDLE_S = 30
