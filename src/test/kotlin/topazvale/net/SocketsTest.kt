package topazvale.net

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class SocketsTest {
    /** With half as many machines again, the connections of workers alone use nine tenths of the sockets. */
    @Test
    fun `optional connections are given up before connections of workers are refused`() {
        // open connections, hasSpare, isScarce
        val cases =
            listOf(
                Triple(100, true, false),
                Triple(1644, true, false),
                Triple(1700, true, true),
                Triple(1750, false, true),
            )
        for ((openConnections, hasSpare, isScarce) in cases) {
            val sockets = Sockets(limit = 1801, fixedConnections = 26)
            repeat(openConnections + 5) { sockets.connectionOpened() }
            repeat(5) { sockets.connectionClosed() }
            assertEquals(
                hasSpare to isScarce,
                sockets.hasSpare to sockets.isScarce,
                "$openConnections open connections",
            )
        }
    }
}
