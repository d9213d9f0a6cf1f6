package topazvale.reconcile

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import topazvale.cloud.CloudService
import topazvale.config.Settings
import topazvale.leader.Term
import topazvale.model.Clocks
import topazvale.net.Sockets
import topazvale.state.StateService
import kotlin.time.Duration

/** The services that a controller calls. */
class ServiceClients(val state: StateService, val cloud: CloudService, val workers: WorkerClient)

/**
 * What the loops of one leadership term share. All of them run on the one event loop behind [scope], which ends with
 * the term.
 */
class TermContext(
    val settings: Settings,
    val term: Term,
    val services: ServiceClients,
    val sockets: Sockets,
    val scope: CoroutineScope,
    val clocks: Clocks,
) {
    private val planRequests = Channel<Unit>(Channel.CONFLATED)

    /** Has the next plan made as soon as the rest after the last one is over. Called whenever the state has changed. */
    fun requestPlan() {
        planRequests.trySend(Unit)
    }

    /** Waits until a plan is requested, for [limit] at most. */
    suspend fun awaitPlanRequest(limit: Duration) {
        withTimeoutOrNull(limit) { planRequests.receive() }
    }
}
