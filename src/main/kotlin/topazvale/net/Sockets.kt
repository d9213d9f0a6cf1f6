package topazvale.net

import io.vertx.core.http.HttpConnection

/** Is told of the connections of a client or a server. */
interface ConnectionListener {
    /** A connection has been opened. */
    fun connectionOpened()

    /** A connection has been closed by either side. */
    fun connectionClosed()
}

/** Tells each listener that [connection] has been opened and, later, that it has been closed. */
fun Collection<ConnectionListener>.notifyOf(connection: HttpConnection) {
    forEach { it.connectionOpened() }
    // A connection has only one close handler.
    connection.closeHandler { forEach { it.connectionClosed() } }
}

/**
 * Counts the open connections against the number of sockets that the process may use. At that limit even connections
 * from workers would be refused. To prevent this, optional connections are given up before the limit is reached.
 *
 * [fixedConnections] is the number of connections of clients whose connection pool has a fixed size.
 */
class Sockets(private val limit: Int, private val fixedConnections: Int) : ConnectionListener {
    var openConnections = 0
        private set

    /** Whether a connection may be opened that only improves latency. */
    val hasSpare: Boolean get() = limit - fixedConnections - openConnections > limit / SPARE_DIVISOR

    /** Whether so few sockets are left that callers which another node can serve must not keep their connections. */
    val isScarce: Boolean get() = limit - fixedConnections - openConnections < limit / SCARCE_DIVISOR

    override fun connectionOpened() {
        openConnections++
    }

    override fun connectionClosed() {
        openConnections--
    }

    private companion object {
        const val SPARE_DIVISOR = 50
        const val SCARCE_DIVISOR = 20
    }
}
