package topazvale.reconcile

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import topazvale.cloud.CloudService
import topazvale.config.Settings
import topazvale.leader.Term
import topazvale.model.Clocks
import topazvale.net.Sockets
import topazvale.state.StateService
import topazvale.store.DeposedException
import topazvale.supervision.SupervisedScope
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
    private val scope: SupervisedScope,
    val clocks: Clocks,
) {
    private val log = LoggerFactory.getLogger(TermContext::class.java)
    private val planRequests = Channel<Unit>(Channel.CONFLATED)

    /**
     * Launches work of this term. A failure of any of it ends the term: a leader without one of its loops would hold
     * the cluster and idle.
     */
    fun launch(name: String, work: suspend () -> Unit) {
        scope.launchOnce(name, onFailure = { term.end() }) { unlessDeposed(work) }
    }

    private suspend fun unlessDeposed(work: suspend () -> Unit) = try {
        work()
    } catch (e: DeposedException) {
        log.info("deposed: {}", e.message)
        term.end()
    }

    /** Has the next plan made as soon as the rest after the last one is over. Called whenever the state has changed. */
    fun requestPlan() {
        planRequests.trySend(Unit)
    }

    /** Waits until a plan is requested, for [limit] at most. */
    suspend fun awaitPlanRequest(limit: Duration) {
        withTimeoutOrNull(limit) { planRequests.receive() }
    }
}
