package topazvale.net

import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.cli.smallVertx
import topazvale.config.Address
import kotlin.time.Duration.Companion.seconds

class HttpTest {
    /** A process that is suspended between a decision and the request must not act on outdated state. */
    @Test
    fun `a request whose precondition no longer holds is not sent`() {
        val vertx = smallVertx()
        var receivedRequests = 0
        runBlocking {
            val server = vertx.createHttpServer().requestHandler {
                receivedRequests++
                it.response().end()
            }.listen(0, "127.0.0.1").coAwait()
            val http = Http(vertx, PoolSettings("test", maxConnections = 1, connectTimeout = 2.seconds))
            for (preconditionHolds in listOf(false, true, false)) {
                val response = http.call(
                    Address("127.0.0.1", server.actualPort()),
                    Call(HttpMethod.POST, "/", ByteArray(1), 10.seconds),
                ) { preconditionHolds }
                assertEquals(preconditionHolds, response != null)
            }
        }
        assertEquals(1, receivedRequests)
        vertx.close()
    }
}
