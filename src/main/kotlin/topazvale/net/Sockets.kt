package topazvale.net

import io.vertx.core.http.HttpConnection

/**
 * The sockets in use, as a process may have only so many. At the limit even the connections of workers would be
 * refused, which must not happen: what can do without a connection of its own does so before.
 *
 * [fixed] are those of clients with a fixed number of connections.
 */
class Sockets(private val limit: Int, private val fixed: Int) {
    var open = 0
        private set

    /** Whether a connection that is only good for speed may still be made. */
    val spare: Boolean get() = limit - fixed - open > limit / SPARE_PART

    /** Whether so few are left that callers who could as well be served by another node should not keep theirs. */
    val scarce: Boolean get() = limit - fixed - open < limit / SCARCE_PART

    /** Counts the connection until it is closed. */
    fun count(connection: HttpConnection) {
        opened()
        connection.closeHandler { closed() }
    }

    internal fun opened() {
        open++
    }

    internal fun closed() {
        open--
    }

    private companion object {
        const val SPARE_PART = 50
        const val SCARCE_PART = 20
    }
}
