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
import topazvale.net.PoolSettings
import kotlin.time.Duration.Companion.seconds

/** Fetches the status of peers over HTTP. */
class HttpPeerClient(vertx: Vertx) : PeerClient {
    private val http = Http(vertx, PoolSettings("peers", maxConnections = 1))

    override suspend fun fetchStatus(peer: Peer): ByteArray? =
        http.call(peer.address, Call(HttpMethod.GET, PATH, null, TIMEOUT))?.takeIf { it.status == HttpStatus.OK }?.body

    private companion object {
        /** The production version requests the status under this path as well. */
        const val PATH = "/word"
        val TIMEOUT = 1.seconds
    }
}

/** Serves [status] to peers on [address] and returns the port. */
suspend fun servePeerStatus(vertx: Vertx, address: Address, status: () -> PeerStatus): Int =
    vertx.createHttpServer(HttpServerOptions().setIdleTimeout(IDLE_TIMEOUT_S))
        .requestHandler { it.response().end(Buffer.buffer(status().encode())) }
        .listen(address.port, address.host).coAwait().actualPort()

private const val IDLE_TIMEOUT_S = 30
