package topazvale.net

import io.vertx.core.http.HttpConnection

/**
 * Counts the open connections against the number of sockets that the process may use. At that limit even connections
 * from workers would be refused. To prevent this, optional connections are given up before the limit is reached.
 *
 * [fixedConnections] is the number of connections of clients whose connection pool has a fixed size.
 */
class Sockets(private val limit: Int, private val fixedConnections: Int) {
    var openConnections = 0
        private set

    /** Whether a connection may be opened that only improves latency. */
    val hasSpare: Boolean get() = limit - fixedConnections - openConnections > limit / SPARE_DIVISOR

    /** Whether so few sockets are left that callers which another node can serve must not keep their connections. */
    val isScarce: Boolean get() = limit - fixedConnections - openConnections < limit / SCARCE_DIVISOR

    /** Counts the connection as open until it is closed. */
    fun track(connection: HttpConnection) {
        recordOpened()
        connection.closeHandler { recordClosed() }
    }

    internal fun recordOpened() {
        openConnections++
    }

    internal fun recordClosed() {
        openConnections--
    }

    private companion object {
        const val SPARE_DIVISOR = 50
        const val SCARCE_DIVISOR = 20
    }
}
