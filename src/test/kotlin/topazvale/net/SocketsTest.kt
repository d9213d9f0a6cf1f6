package topazvale.net

import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.cli.smallVertx
import topazvale.config.Address
import kotlin.time.Duration.Companion.seconds

class SocketsTest {
    /** With half as many machines again, workers alone take nine in ten of the sockets. */
    @Test
    fun `what can do without a connection gives way before workers are refused`() {
        // open, spare, scarce
        val cases =
            listOf(
                Triple(100, true, false),
                Triple(1644, true, false),
                Triple(1700, true, true),
                Triple(1750, false, true),
            )
        for ((open, spare, scarce) in cases) {
            val sockets = Sockets(limit = 1801, fixedConnections = 26)
            repeat(open + 5) { sockets.opened() }
            repeat(5) { sockets.closed() }
            assertEquals(spare to scarce, sockets.hasSpare to sockets.isScarce, "$open open")
        }
    }

    /** A process that stood still between asking and sending must not act on what it believed before. */
    @Test
    fun `a request that is wanted no more does not leave`() {
        val vertx = smallVertx()
        var came = 0
        runBlocking {
            val server = vertx.createHttpServer().requestHandler {
                came++
                it.response().end()
            }.listen(0, "127.0.0.1").coAwait()
            val http = Http(vertx, maxConnections = 1, connectTimeout = 2.seconds)
            for (wanted in listOf(false, true, false)) {
                val reply = http.call(
                    Address("127.0.0.1", server.actualPort()),
                    Call(HttpMethod.POST, "/", ByteArray(1), 10.seconds),
                ) { wanted }
                assertEquals(wanted, reply != null)
            }
        }
        assertEquals(1, came)
        vertx.close()
    }
}
