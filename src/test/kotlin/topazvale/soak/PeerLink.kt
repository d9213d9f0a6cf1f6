package topazvale.soak

import io.vertx.core.Vertx
import io.vertx.core.net.NetServerOptions
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait

/** What leads connections from peers to one controller, and can cut them. */
class PeerLink(private val vertx: Vertx, private val target: Int) {
    private val open = HashSet<NetSocket>()
    private val client = vertx.createNetClient()

    /** While it is cut no connection is there, nor made. */
    var cut = false
        set(on) {
            field = on
            if (on) open.toList().forEach { it.close() }
        }

    /** Starts listening; the port. */
    suspend fun listen(): Int = vertx.createNetServer(NetServerOptions().setHost(HttpStandIn.LOOPBACK).setPort(0))
        .connectHandler(::connected)
        .listen().coAwait().actualPort()

    private fun connected(from: NetSocket) {
        if (cut) {
            from.close()
            return
        }
        from.pause()
        client.connect(target, HttpStandIn.LOOPBACK).onFailure { from.close() }.onSuccess { to ->
            join(from, to)
            join(to, from)
            from.resume()
        }
    }

    private fun join(from: NetSocket, to: NetSocket) {
        open += from
        from.handler(to::write)
        from.closeHandler {
            open -= from
            to.close()
        }
    }
}
