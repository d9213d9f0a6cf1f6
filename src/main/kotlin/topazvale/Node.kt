package topazvale

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import topazvale.api.Metrics
import topazvale.api.Server
import topazvale.cloud.CloudService
import topazvale.config.Settings
import topazvale.mesh.HttpPeerClient
import topazvale.mesh.servePeerStatus
import topazvale.model.Clocks
import topazvale.net.Sockets
import topazvale.reconcile.WorkerClient
import topazvale.state.StateService
import kotlin.random.Random

/** A controller that is asked over HTTP. */
class Node(
    private val vertx: Vertx,
    private val settings: Settings,
    state: StateService,
    cloud: CloudService,
    workerClient: WorkerClient,
    sockets: Sockets,
) {
    private val scope = CoroutineScope(vertx.orCreateContext.dispatcher() + SupervisorJob())
    private val controller =
        Controller(
            settings, state, cloud, workerClient,
            HttpPeerClient(
                vertx,
            ),
            sockets, scope, Clocks.SYSTEM, Random.Default,
        )
    private val server = Server(
        vertx,
        scope,
        controller.users,
        controller.workers,
        controller::healthy,
        sockets,
        settings.workers.lease * IDLE_LEASES,
        Metrics(),
    )

    suspend fun start(): Int {
        val port = server.listen(settings.bind)
        servePeerStatus(vertx, settings.mesh, controller::peerStatus)
        controller.start()
        return port
    }

    fun close() {
        controller.close()
        scope.cancel()
    }

    private companion object {
        const val IDLE_LEASES = 2
    }
}
