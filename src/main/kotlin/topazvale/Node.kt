package topazvale

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import topazvale.api.Metrics
import topazvale.api.Server
import topazvale.api.Standing
import topazvale.api.Users
import topazvale.api.Workers
import topazvale.cloud.CloudService
import topazvale.config.Settings
import topazvale.leader.Election
import topazvale.leader.Term
import topazvale.mesh.PeerWord
import topazvale.mesh.Peers
import topazvale.mesh.allSilent
import topazvale.mesh.commonSilence
import topazvale.model.MachineType
import topazvale.net.Sockets
import topazvale.reconcile.Leading
import topazvale.reconcile.WorkerClient
import topazvale.state.StateService
import topazvale.store.Keys
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** One controller: takes users' requests, and leads while it holds the leader key. */
class Node(
    private val vertx: Vertx,
    private val settings: Settings,
    private val state: StateService,
    private val cloud: CloudService,
    private val workerClient: WorkerClient,
    private val sockets: Sockets,
) {
    private val scope = CoroutineScope(vertx.orCreateContext.dispatcher() + SupervisorJob())
    private var types: List<MachineType>? = null
    private var leading: Leading? = null
    private var leadingScope: CoroutineScope? = null
    private var sure: ComparableTimeMark = TimeSource.Monotonic.markNow()
    private val born = TimeSource.Monotonic.markNow()
    private val peers = Peers(vertx, scope, settings.seeds.filter { it.member != settings.member }, ::word) { state.silence < TOUCH_EVERY * 2 }
    private val election = Election(
        state, settings.member, Random.nextLong().toULong().toString(16), settings.tuning.leaderLease, scope, ::lead, ::stepDown,
    )
    private val users = Users(state, settings.teams, ::healthy) { types }
    private val server = Server(
        vertx, scope, users, Workers(::standing), ::healthy, sockets, settings.workers.lease * IDLE_LEASES, Metrics(),
    )

    /**
     * For how long after its last word from the state service a leader still answers reports.
     *
     * A cancellation that it could not see may have been told to a user right after that word. The workers' leases
     * that it renewed at the very end run out in time for it.
     */
    private val grace: Duration =
        (settings.workers.cancel - settings.workers.lease - GRACE_MARGIN).coerceAtLeast(Duration.ZERO)

    suspend fun start(): Int {
        val port = server.listen(settings.bind)
        peers.listen(settings.mesh)
        peers.start()
        scope.launch { learnTypes() }
        scope.launch { keepInTouch() }
        election.start()
        return port
    }

    fun close() {
        leadingScope?.cancel()
        scope.cancel()
    }

    private fun word() = PeerWord(settings.member, minOf(state.silence, born.elapsedNow()).inWholeMilliseconds, election.term?.token ?: 0)

    /**
     * Whether a user does well to ask here. Without the state service that is so only while the others have no word of
     * it either; of a node that hears nobody it cannot be told.
     */
    private fun healthy(): Boolean = state.silence < SILENT || allSilent(peers.all, fresh = SILENT, silence = SILENT)

    private fun lead(term: Term) {
        val own = CoroutineScope(scope.coroutineContext + SupervisorJob(scope.coroutineContext[kotlinx.coroutines.Job]))
        leadingScope = own
        leading = Leading(settings, term, state, cloud, workerClient, sockets, own, grace).also { it.start() }
    }

    private fun stepDown(term: Term) {
        leadingScope?.cancel()
        leading = null
    }

    private fun standing(): Standing {
        val term = election.term
        val current = leading
        if (term == null || term.over || current == null) return Standing.Following(election.leader)
        if (peers.all.any { it != null && it.word.token > term.token }) {
            term.end()
            return Standing.Following(null)
        }
        if (term.renewed > sure) sure = term.renewed
        commonSilence(peers.all, sure)?.let { if (it > sure) sure = it }
        if (sure.elapsedNow() > grace) return Standing.Following(null)
        return Standing.Leading(term.token, current::answer)
    }

    private suspend fun learnTypes() {
        while (true) {
            cloud.types()?.let { types = it }
            delay(if (types == null) 1.seconds else TYPES_EVERY)
        }
    }

    /** A node that nobody asks anything must still know how it stands with the state service. */
    private suspend fun keepInTouch() {
        while (true) {
            delay(TOUCH_EVERY)
            if (state.silence > TOUCH_EVERY) state.get(Keys.LEADER)
        }
    }

    private companion object {
        val GRACE_MARGIN = 4.seconds
        const val IDLE_LEASES = 2
        val SILENT = 3.seconds
        val TOUCH_EVERY = 1.seconds
        val TYPES_EVERY = 120.seconds
    }
}
