package topazvale.soak

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/**
 * Allocates ports for processes that are restarted. The ports are below the ephemeral port range of the system, so the
 * system doesn't assign the port of a controller to another process while that controller is down.
 */
object Ports {
    private const val FIRST = 12_000
    private const val LAST = 31_000
    private const val PROCESS_STRIDE = 400
    private val next = AtomicInteger(FIRST + (ProcessHandle.current().pid() * PROCESS_STRIDE % (LAST - FIRST)).toInt())

    /** Returns [count] free ports that are not allocated to any other caller in this process. */
    fun allocate(count: Int): List<Int> = List(count) { allocateOne() }

    private fun allocateOne(): Int {
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
