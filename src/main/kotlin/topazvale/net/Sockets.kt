package topazvale.net

import io.vertx.core.http.HttpConnection

/**
 * The sockets in use, as a process may have only so many. At the limit even the connections of workers would be
 * refused, which must not happen: what can do without a connection of its own does so before.
 *
 * [fixedConnections] are those of clients with a fixed number of connections.
 */
class Sockets(private val limit: Int, private val fixedConnections: Int) {
    var openConnections = 0
        private set

    /** Whether a connection that is only good for speed may still be made. */
    val hasSpare: Boolean get() = limit - fixedConnections - openConnections > limit / SPARE_PART

    /** Whether so few are left that callers who could as well be served by another node should not keep theirs. */
    val isScarce: Boolean get() = limit - fixedConnections - openConnections < limit / SCARCE_PART

    /** Counts the connection until it is closed. */
    fun track(connection: HttpConnection) {
        opened()
        connection.closeHandler { closed() }
    }

    internal fun opened() {
        openConnections++
    }

    internal fun closed() {
        openConnections--
    }

    private companion object {
        const val SPARE_PART = 50
        const val SCARCE_PART = 20
    }
}
