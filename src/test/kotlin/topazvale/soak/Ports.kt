package topazvale.soak

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/**
 * Ports for processes that come back. They are below the range from which the system gives ports to whoever asks for any:
 * while a process is away nobody else takes its port.
 */
object Ports {
    private const val FIRST = 12_000
    private const val LAST = 31_000
    private const val APART = 400
    private val next = AtomicInteger(FIRST + (ProcessHandle.current().pid() * APART % (LAST - FIRST)).toInt())

    /** So many ports that are free, and given to nobody else in this process. */
    fun take(count: Int): List<Int> = List(count) { takeOne() }

    private fun takeOne(): Int {
        while (true) {
            val port = next.getAndUpdate { if (it >= LAST) FIRST else it + 1 }
            if (isFree(port)) return port
        }
    }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).use { true }
    } catch (ignored: IOException) {
        false
    }
}
