package topazvale.cli

import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.runBlocking
import picocli.CommandLine.Command
import topazvale.config.Address
import topazvale.config.Settings
import topazvale.net.Call
import topazvale.net.Http
import topazvale.net.PoolSettings
import topazvale.wire.Cbor
import java.util.concurrent.Callable
import java.util.jar.JarFile
import kotlin.time.Duration.Companion.seconds

/**
 * Starts a node on loopback, sends it a few requests and exits. The build runs this to record the classes that a start
 * loads, and stores them in a class data archive: loading them one by one takes a third of the start-up time.
 */
@Command(
    name = "rehearse",
    mixinStandardHelpOptions = true,
    description = ["Starts on loopback, answers a few requests and ends."],
)
class DryRun : Callable<Int> {
    override fun call(): Int {
        val settings = Settings.parse(SETTINGS)
        val vertx = smallVertx()
        val node = httpNode(vertx, settings)
        loadOwnClasses()
        val http = Http(vertx, PoolSettings("rehearsal", maxConnections = 1))
        val answered = runBlocking {
            val port = node.start()
            requests.count { http.call(Address("127.0.0.1", port), it) != null }
        }
        node.close()
        println("rehearsed: $answered requests answered")
        return 0
    }

    /** Also loads the classes that only a leader uses: without a state service the node never becomes one. */
    private fun loadOwnClasses() {
        val source = DryRun::class.java.protectionDomain.codeSource.location
        if (!source.path.endsWith(".jar")) return
        JarFile(source.path).use { jar ->
            jar.entries().asSequence().map { it.name }.filter { it.startsWith("topazvale/") && it.endsWith(".class") }
                .forEach { Class.forName(it.removeSuffix(".class").replace('/', '.'), false, javaClass.classLoader) }
        }
    }

    private companion object {
        val TIMEOUT = 5.seconds
        val requests = listOf(
            Call(HttpMethod.GET, "/healthz", null, TIMEOUT),
            Call(HttpMethod.POST, "/submissions", Cbor.encode(mapOf("uid" to "job-0")), TIMEOUT),
            Call(HttpMethod.GET, "/submissions/job-0", null, TIMEOUT),
            Call(HttpMethod.POST, "/agent/beat", Cbor.encode(mapOf("host" to "n-0")), TIMEOUT),
            Call(HttpMethod.GET, "/metrics", null, TIMEOUT),
        )

        /** The addresses of the state service and the cloud have no listener. */
        val SETTINGS = """
            member = "rehearsal"
            area = "here"
            bind = "127.0.0.1:0"
            mesh_addr = "127.0.0.1:0"
            [outside]
            cloud = "127.0.0.1:1"
            state = "127.0.0.1:1"
            [deployment]
            initial_size = 1
            clock_error_ms = 1.0
            [deployment.workers]
            report_s = 3.0
            lease_s = 14.0
            gang_wait_s = 40.0
            gang_peer_s = 5.0
            cancel_s = 44.0
            [deployment.state]
            rps = 100.0
            write_rps = 50.0
            value_kb = 8.0
            txn_ops = 16
            [deployment.cloud]
            rps = 4.0
            list_lag_s = 5.0
            [deployment.resources]
            max_connections = 100
        """.trimIndent()
    }
}
