package topazvale

import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
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
import topazvale.mesh.PeerAccess
import topazvale.mesh.PeerClient
import topazvale.mesh.PeerStatus
import topazvale.mesh.Peers
import topazvale.mesh.WorkerContact
import topazvale.mesh.highestToken
import topazvale.mesh.peerAccess
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

/** The environment of a controller: its coroutine scope on one event loop, its sockets, clocks and random numbers. */
class ControllerRuntime(val scope: SupervisedScope, val sockets: Sockets, val clocks: Clocks, val random: Random)

/**
 * One controller, independent of the transport: it serves users at any time, and leads while it holds the leader key.
 * All methods are called on the event loop of the runtime's scope.
 */
class Controller(
    private val settings: Settings,
    private val services: ServiceClients,
    peerClient: PeerClient,
    private val runtime: ControllerRuntime,
) {
    private val log = LoggerFactory.getLogger(Controller::class.java)
    private val state = services.state
    private val scope = runtime.scope
    private val clocks = runtime.clocks
    private val startedAt = clocks.mark()
    private val peers =
        Peers(scope, settings.peers.filter { it.member != settings.member }, peerClient, clocks) {
            state.timeSinceLastDataResponse < PROBE_INTERVAL * 2
        }
    private val workerContact = WorkerContact(peers::latestStatuses, clocks)
    private val cancellations = CancellationTracker(settings.workers.cancelLimit, peers, clocks)
    private val incarnation = runtime.random.nextLong().toULong().toString(HEXADECIMAL)
    private val election = Election(
        state,
        Candidate(settings.member, incarnation),
        settings.tuning.leaderLease,
        scope,
        clocks,
        object : TermListener {
            override fun termBegan(term: Term) = beginTerm(term)

            override fun termEnded(term: Term) = endTerm()
        },
    )
    private var machineTypes: List<MachineType>? = null
    private var leadership: Leadership? = null
    private var termScope: SupervisedScope? = null

    /** Serves users. */
    val submissions = SubmissionApi(
        state,
        JobAdmission(settings.teams, settings.stateLimits.valueBytes) { machineTypes },
        cancellations.log,
        clocks,
        ::healthy,
    )

    /** Responds to workers' reports. */
    val reports = ReportApi(workerContact::recordReport, ::leadershipStatus)

    /**
     * The lease grace period: for how long a leader still responds to reports after the last time at which it was sure
     * to know all cancellations.
     *
     * Another controller may confirm a cancellation to a user right after that time. The worker leases that the leader
     * renews at the end of the grace period then still expire within the cancellation limit.
     */
    private val gracePeriod: Duration =
        (settings.workers.cancelLimit - settings.workers.lease - GRACE_PERIOD_MARGIN).coerceAtLeast(Duration.ZERO)

    /** Starts the loops that run on every controller: peers, machine types, state service, election. */
    fun start() {
        peers.start()
        scope.launchForever("machine types") { refreshMachineTypes() }
        scope.launchForever("state service") { probeStateService() }
        election.start()
    }

    /** Ends the current term, if any. The loops end with the runtime's scope. */
    fun close() {
        termScope?.cancel()
    }

    /** The status that this controller reports to its peers. */
    fun peerStatus(): PeerStatus {
        val uptime = startedAt.elapsedNow()
        // Read the list first: reading it may shorten the period for which it is complete.
        val cancelledJobs = cancellations.log.ids.toList()
        return PeerStatus(
            settings.member,
            stateUnresponsiveMs = minOf(state.timeSinceLastResponse, uptime).inWholeMilliseconds,
            token = election.term?.token ?: 0,
            cancellationsCompleteMs = cancellations.log.completeFor.inWholeMilliseconds,
            cancelledJobs = cancelledJobs,
            highestLedToken = election.highestToken,
            dataUnresponsiveMs = minOf(state.timeSinceLastDataResponse, uptime).inWholeMilliseconds,
            workerHeardMsAgo = workerContact.heardMsAgo,
        )
    }

    /**
     * Health check: whether users should send requests to this controller. Without the state service it is healthy only
     * if no reachable peer has access either; without a reachable peer this cannot be determined, and it is unhealthy.
     */
    fun healthy(): Boolean {
        if (state.timeSinceLastDataResponse < UNHEALTHY_AFTER) return true
        return peerAccess() == PeerAccess.ALL_CUT_OFF
    }

    private fun peerAccess() = peerAccess(peers.latestStatuses, maxStatusAge = UNHEALTHY_AFTER, limit = UNHEALTHY_AFTER)

    private fun beginTerm(term: Term) {
        val newScope = scope.child()
        val context = TermContext(settings, term, services, runtime.sockets, newScope, clocks)
        termScope = newScope
        leadership =
            Leadership(context, gracePeriod, workerContact, cancellations::reportedJobs).also { it.start() }
    }

    private fun endTerm() {
        termScope?.cancel()
        leadership = null
    }

    private fun leadershipStatus(): LeadershipStatus {
        val term = election.term
        val current = leadership
        if (term == null || term.ended || current == null) return LeadershipStatus.Following(election.leader)
        if (highestToken(peers.latestStatuses) > term.token) {
            term.end()
            return LeadershipStatus.Following(null)
        }
        // The earlier time counts: a leader whose watch still delivers may have lost its lease, and a leader that holds
        // its lease may have a stale watch and miss cancellations.
        val completeUntil = cancellations.completeUntil(minOf(term.lastRenewedAt, current.currentAsOf))
        return if (completeUntil.elapsedNow() > gracePeriod) {
            LeadershipStatus.GracePeriodExpired(current::applyUnanswered)
        } else {
            LeadershipStatus.Leading(current.highestToken, current::respond)
        }
    }

    private suspend fun refreshMachineTypes() {
        while (true) {
            services.cloud.listMachineTypes()?.let { machineTypes = it }
            delay(if (machineTypes == null) MACHINE_TYPES_RETRY else MACHINE_TYPES_INTERVAL)
        }
    }

    /** Probes the state service, so that an idle controller also knows whether the service responds. */
    private suspend fun probeStateService() {
        while (true) {
            delay(PROBE_INTERVAL)
            if (state.timeSinceLastDataResponse > PROBE_INTERVAL) state.get(Keys.LEADER)
            stepDownIfUnserved()
        }
    }

    /**
     * Ends a term whose reads and transactions get no response, although its renewals may, while the state service
     * serves a peer: nothing can be started in it. Where no peer is served, no other controller would do better.
     */
    private fun stepDownIfUnserved() {
        val term = election.term ?: return
        val isUnserved = state.timeSinceLastDataResponse > settings.workers.lease * UNSERVED_LEASES
        if (term.ended || !isUnserved || peerAccess() != PeerAccess.SOME_SERVED) return
        log.atWarn().addKeyValue("token", term.token).log("term_unserved")
        term.end()
    }

    private companion object {
        /** Covers the transfer of a report and its response, and the stop of the tasks that follows. */
        val GRACE_PERIOD_MARGIN = 4.seconds
        val UNHEALTHY_AFTER = 3.seconds
        const val UNSERVED_LEASES = 0.5
        val PROBE_INTERVAL = 1.seconds
        val MACHINE_TYPES_RETRY = 1.seconds
        val MACHINE_TYPES_INTERVAL = 120.seconds
        const val HEXADECIMAL = 16
    }
}
