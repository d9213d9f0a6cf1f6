package topazvale

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
import topazvale.api.Handlers
import topazvale.api.Metrics
import topazvale.api.Server
import topazvale.config.Settings
import topazvale.mesh.HttpPeerClient
import topazvale.mesh.servePeerStatus
import topazvale.model.Clocks
import topazvale.net.Sockets
import topazvale.reconcile.ServiceClients
import topazvale.supervision.ExitOnFatalFailure
import topazvale.supervision.SupervisedScope
import kotlin.random.Random

/** A controller with its HTTP servers: one address for users and workers, another one for peers. */
class Node(private val vertx: Vertx, private val settings: Settings, services: ServiceClients, sockets: Sockets) {
    private val scope = SupervisedScope(vertx.orCreateContext.dispatcher(), ExitOnFatalFailure)
    private val runtime = ControllerRuntime(scope, sockets, Clocks.SYSTEM, Random.Default)
    private val controller = Controller(settings, services, HttpPeerClient(vertx), runtime)
    private val handlers = Handlers(controller.submissions, controller.reports, controller::healthy)
    private val server =
        Server(vertx, scope, handlers, sockets, settings.workers.lease * IDLE_TIMEOUT_LEASES, Metrics())

    /** Starts the servers and joins the election; returns the port for users and workers. */
    suspend fun start(): Int {
        // Covers code on the event loop outside of coroutines: connections and requests of peers.
        vertx.exceptionHandler { scope.reportFailure("event loop", it) }
        val port = server.listen(settings.bind)
        servePeerStatus(vertx, settings.mesh, controller::peerStatus)
        controller.start()
        return port
    }

    /** Stops the controller; open connections are closed with the event loop. */
    fun close() {
        controller.close()
        scope.cancel()
    }

    private companion object {
        const val IDLE_TIMEOUT_LEASES = 2
    }
}
