package topazvale.soak

import io.vertx.core.Vertx
import io.vertx.core.net.NetServerOptions
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait

/** A TCP proxy for connections from peers to one controller; it simulates a partition while [cut]. */
class PeerLink(private val vertx: Vertx, private val target: Int) {
    private val openSockets = HashSet<NetSocket>()
    private val client = vertx.createNetClient()

    /** Whether the link is cut: existing connections are closed and new ones refused. */
    var cut = false
        set(value) {
            field = value
            if (value) openSockets.toList().forEach { it.close() }
        }

    /** Starts listening and returns the port. */
    suspend fun listen(): Int = vertx.createNetServer(NetServerOptions().setHost(HttpStandIn.LOOPBACK).setPort(0))
        .connectHandler(::handleConnection)
        .listen().coAwait().actualPort()

    private fun handleConnection(source: NetSocket) {
        if (cut) {
            source.close()
            return
        }
        source.pause()
        client.connect(target, HttpStandIn.LOOPBACK).onFailure { source.close() }.onSuccess { destination ->
            forward(source, destination)
            forward(destination, source)
            source.resume()
        }
    }

    private fun forward(source: NetSocket, destination: NetSocket) {
        openSockets += source
        source.handler(destination::write)
        source.closeHandler {
            openSockets -= source
            destination.close()
        }
    }
}
