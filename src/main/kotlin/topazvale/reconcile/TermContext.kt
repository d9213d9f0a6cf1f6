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

/** Clients of the services that a controller calls. */
class ServiceClients(val state: StateService, val cloud: CloudService, val workers: WorkerClient)

/**
 * The settings, services and triggers that the loops of one leadership term share. All loops run on the single event
 * loop of [scope], which ends with the term.
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
     * Launches work of this term. Any failure of it ends the term, because a leader without one of its loops would keep
     * the leadership but leave its work undone.
     */
    fun launch(name: String, work: suspend () -> Unit) {
        scope.launchOnce(name, onFailure = { term.end() }) { endTermIfDeposed(work) }
    }

    private suspend fun endTermIfDeposed(work: suspend () -> Unit) = try {
        work()
    } catch (e: DeposedException) {
        log.info("deposed: {}", e.message)
        term.end()
    }

    /** Requests a plan, made once the pause after the last one is over. Called whenever the cluster state changes. */
    fun requestPlan() {
        planRequests.trySend(Unit)
    }

    /** Waits until a plan is requested, for at most [limit]. */
    suspend fun awaitPlanRequest(limit: Duration) {
        withTimeoutOrNull(limit) { planRequests.receive() }
    }
}
