package topazvale

import kotlinx.coroutines.delay
import topazvale.api.JobAdmission
import topazvale.api.LeadershipStatus
import topazvale.api.ReportApi
import topazvale.api.SubmissionApi
import topazvale.config.Settings
import topazvale.leader.Candidate
import topazvale.leader.Election
import topazvale.leader.Term
import topazvale.leader.TermListener
import topazvale.mesh.CancellationTracker
import topazvale.mesh.PeerClient
import topazvale.mesh.PeerStatus
import topazvale.mesh.Peers
import topazvale.mesh.allLackStateService
import topazvale.mesh.highestToken
import topazvale.model.Clocks
import topazvale.model.MachineType
import topazvale.net.Sockets
import topazvale.reconcile.Leadership
import topazvale.reconcile.ServiceClients
import topazvale.reconcile.TermContext
import topazvale.store.Keys
import topazvale.supervision.SupervisedScope
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Where a controller runs: its coroutines on one event loop, its sockets, its clocks. */
class ControllerRuntime(val scope: SupervisedScope, val sockets: Sockets, val clocks: Clocks, val random: Random)

/**
 * One controller, whatever brings it its requests: answers users at any time, and leads while it holds the leader key.
 * All its methods are called on the event loop of the runtime's scope.
 */
class Controller(
    private val settings: Settings,
    private val services: ServiceClients,
    peerClient: PeerClient,
    private val runtime: ControllerRuntime,
) {
    private val state = services.state
    private val scope = runtime.scope
    private val clocks = runtime.clocks
    private val started = clocks.mark()
    private val peers =
        Peers(scope, settings.peers.filter { it.member != settings.member }, peerClient, clocks) {
            state.timeSinceLastResponse < TOUCH_INTERVAL * 2
        }
    private val cancellations = CancellationTracker(settings.workers.cancelLimit, peers, clocks)
    private val life = runtime.random.nextLong().toULong().toString(HEXADECIMAL)
    private val election = Election(
        state,
        Candidate(settings.member, life),
        settings.tuning.leaderLease,
        scope,
        clocks,
        object : TermListener {
            override fun termBegan(term: Term) = lead(term)

            override fun termEnded(term: Term) = stepDown()
        },
    )
    private var types: List<MachineType>? = null
    private var leadership: Leadership? = null
    private var termScope: SupervisedScope? = null

    /** Answers users. */
    val submissions = SubmissionApi(
        state,
        JobAdmission(settings.teams, settings.stateLimits.valueBytes) { types },
        cancellations.log,
        clocks,
        ::healthy,
    )

    /** Answers workers' reports. */
    val reports = ReportApi(::leadershipStatus)

    /**
     * For how long a leader still answers reports after the last moment at which it was certain to know of all
     * cancellations.
     *
     * One that it could not see may have been told to a user right after that moment. The workers' leases that it
     * renewed at the very end run out in time for it.
     */
    private val grace: Duration =
        (settings.workers.cancelLimit - settings.workers.lease - GRACE_MARGIN).coerceAtLeast(Duration.ZERO)

    /** Starts the loops of every controller: peers, machine types, the state service, elections. */
    fun start() {
        peers.start()
        scope.launchForever("machine types") { learnTypes() }
        scope.launchForever("state service") { keepInTouch() }
        election.start()
    }

    /** Ends the term, if there is one. The loops end with the scope of the runtime. */
    fun close() {
        termScope?.cancel()
    }

    /** What this controller tells its peers of itself. */
    fun peerStatus(): PeerStatus {
        val life = started.elapsedNow()
        // The list first: reading it may shorten the time for which it is complete.
        val cancelledJobs = cancellations.log.ids.toList()
        return PeerStatus(
            settings.member,
            stateUnresponsiveMs = minOf(state.timeSinceLastResponse, life).inWholeMilliseconds,
            token = election.term?.token ?: 0,
            cancellationsCompleteMs = cancellations.log.completeFor.inWholeMilliseconds,
            cancelledJobs = cancelledJobs,
            highestLedToken = election.highestToken,
        )
    }

    /**
     * Whether a user does well to ask here. Without the state service that is so only while the peers lack it too; of a
     * controller that hears no peer it cannot be told.
     */
    fun healthy(): Boolean {
        if (state.timeSinceLastResponse < UNHEALTHY_SILENCE) return true
        return allLackStateService(peers.all, fresh = UNHEALTHY_SILENCE, silence = UNHEALTHY_SILENCE)
    }

    private fun lead(term: Term) {
        val own = scope.child()
        val context = TermContext(settings, term, services, runtime.sockets, own, clocks)
        termScope = own
        leadership = Leadership(context, grace, cancellations::reportedJobs).also { it.start() }
    }

    private fun stepDown() {
        termScope?.cancel()
        leadership = null
    }

    private fun leadershipStatus(): LeadershipStatus {
        val term = election.term
        val current = leadership
        if (term == null || term.ended || current == null) return LeadershipStatus.Following(election.leader)
        if (highestToken(peers.all) > term.token) {
            term.end()
            return LeadershipStatus.Following(null)
        }
        // Neither alone will do: a leader whose watch still speaks may have lost its lease, and one that keeps its
        // lease may not see what users cancel.
        val known = cancellations.completeUntil(minOf(term.lastRenewedAt, current.currentAsOf))
        return if (known.elapsedNow() > grace) {
            LeadershipStatus.GracePeriodExpired(current::applyUnanswered)
        } else {
            LeadershipStatus.Leading(term.token, current::respond)
        }
    }

    private suspend fun learnTypes() {
        while (true) {
            services.cloud.listMachineTypes()?.let { types = it }
            delay(if (types == null) TYPES_RETRY else TYPES_INTERVAL)
        }
    }

    /** A controller that nobody asks anything must still know how it stands with the state service. */
    private suspend fun keepInTouch() {
        while (true) {
            delay(TOUCH_INTERVAL)
            if (state.timeSinceLastResponse > TOUCH_INTERVAL) state.get(Keys.LEADER)
        }
    }

    private companion object {
        /** For a report and its answer on their way, and for the stop that follows. */
        val GRACE_MARGIN = 4.seconds
        val UNHEALTHY_SILENCE = 3.seconds
        val TOUCH_INTERVAL = 1.seconds
        val TYPES_RETRY = 1.seconds
        val TYPES_INTERVAL = 120.seconds
        const val HEXADECIMAL = 16
    }
}
