package topazvale

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import topazvale.api.LeadershipStatus
import topazvale.api.SubmissionApi
import topazvale.api.ReportApi
import topazvale.cloud.CloudService
import topazvale.config.Settings
import topazvale.leader.Election
import topazvale.leader.Term
import topazvale.mesh.PeerClient
import topazvale.mesh.PeerStatus
import topazvale.mesh.Peers
import topazvale.mesh.CancellationLog
import topazvale.mesh.allLackStateService
import topazvale.mesh.highestToken
import topazvale.mesh.cancellationsKnownUpTo
import topazvale.model.Clocks
import topazvale.model.MachineType
import topazvale.net.Sockets
import topazvale.reconcile.Leadership
import topazvale.reconcile.WorkerClient
import topazvale.state.StateService
import topazvale.store.Keys
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One controller, whatever brings it its requests: answers users, and leads while it holds the leader key. */
class Controller(
    private val settings: Settings,
    private val state: StateService,
    private val cloud: CloudService,
    private val workerClient: WorkerClient,
    peerClient: PeerClient,
    private val sockets: Sockets,
    private val scope: CoroutineScope,
    private val clocks: Clocks,
    random: Random,
) {
    private var types: List<MachineType>? = null
    private var leadership: Leadership? = null
    private var termScope: CoroutineScope? = null
    private var knownUpTo: ComparableTimeMark = clocks.mark()
    private val born = clocks.mark()
    private val peers = Peers(scope, settings.seeds.filter { it.member != settings.member }, peerClient, clocks) {
        state.silence < TOUCH_EVERY * 2
    }
    private val election = Election(
        state,
        settings.member,
        random.nextLong().toULong().toString(16),
        settings.tuning.leaderLease,
        scope,
        clocks,
        ::lead,
        ::stepDown,
    )
    private val window = settings.workers.cancel + WITHDRAWAL_MARGIN
    private val cancellations = CancellationLog(window, clocks)
    val users = SubmissionApi(state, settings.teams, cancellations, settings.stateLimits.valueBytes, clocks, ::healthy) { types }
    val workers = ReportApi(::leadershipStatus)

    /**
     * For how long a leader still answers reports after the last moment at which it was sure to know of all cancellations.
     *
     * One that it could not see may have been told to a user right after that moment. The workers' leases that it
     * renewed at the very end run out in time for it.
     */
    private val grace: Duration =
        (settings.workers.cancel - settings.workers.lease - GRACE_MARGIN).coerceAtLeast(Duration.ZERO)

    fun start() {
        peers.start()
        scope.launch { learnTypes() }
        scope.launch { keepInTouch() }
        election.start()
    }

    fun close() {
        termScope?.cancel()
    }

    fun peerStatus(): PeerStatus {
        val life = born.elapsedNow()
        return PeerStatus(
            settings.member,
            stateSilenceMs = minOf(state.silence, life).inWholeMilliseconds,
            token = election.term?.token ?: 0,
            // The list first: reading it may shorten what it covers.
            cancelledJobs = cancellations.ids.toList(),
            cancellationsCompleteMs = cancellations.covers.inWholeMilliseconds,
            highestLedToken = election.newest,
        )
    }

    /**
     * What users have been told, or may have, by any node that can be heard. A word of one that is gone counts no longer
     * than the node itself would name it: what it asked for in vain must not be stopped for ever.
     */
    private fun reportedCancelled(): Set<String> = peers.all.filterNotNull().filter { it.came.elapsedNow() < window }
        .flatMapTo(HashSet(cancellations.ids)) { it.status.cancelledJobs }

    /**
     * Whether a user does well to ask here. Without the state service that is so only while the others have no word of
     * it either; of a node that hears nobody it cannot be told.
     */
    fun healthy(): Boolean = state.silence < SILENT || allLackStateService(peers.all, fresh = SILENT, silence = SILENT)

    private fun lead(term: Term) {
        val own = CoroutineScope(scope.coroutineContext + SupervisorJob(scope.coroutineContext[Job]))
        termScope = own
        leadership =
            Leadership(settings, term, state, cloud, workerClient, sockets, own, clocks, grace, ::reportedCancelled).also {
                it.start()
            }
    }

    private fun stepDown(term: Term) {
        termScope?.cancel()
        leadership = null
    }

    private fun leadershipStatus(): LeadershipStatus {
        val term = election.term
        val current = leadership
        if (term == null || term.over || current == null) return LeadershipStatus.Following(election.leader)
        if (highestToken(peers.all) > term.token) {
            term.end()
            return LeadershipStatus.Following(null)
        }
        // Neither alone will do: a leader whose watch still speaks may have lost its lease, and one that keeps its lease
        // may not see what users cancel.
        knownUpTo = maxOf(knownUpTo, minOf(term.renewed, current.seen))
        cancellationsKnownUpTo(peers.all, knownUpTo)?.let { knownUpTo = maxOf(knownUpTo, it) }
        if (knownUpTo.elapsedNow() > grace) return LeadershipStatus.Uncertain(current::note)
        return LeadershipStatus.AsLeader(term.token, current::answer)
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

        /** A call to the state service may still be carried out this long after it was made. */
        val WITHDRAWAL_MARGIN = 15.seconds
        val SILENT = 3.seconds
        val TOUCH_EVERY = 1.seconds
        val TYPES_EVERY = 120.seconds
    }
}
