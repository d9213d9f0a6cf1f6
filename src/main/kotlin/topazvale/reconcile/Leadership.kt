package topazvale.reconcile

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import topazvale.mesh.WorkerContact
import topazvale.model.Report
import topazvale.model.ReportResponse
import topazvale.store.Keys
import topazvale.store.RecordWriter
import topazvale.wire.Condition
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

/**
 * One leadership term: rebuilds the cluster state from the records, then runs the loops that reconcile the actual state
 * with the desired state. Owns the cluster state; everything runs on the event loop of the context's scope.
 *
 * [gracePeriod] is the time for which a leader that may have lost its lease still answers reports.
 * [workerContact] tells whether any controller hears workers. [reportedCancelled] returns the jobs that any reachable
 * controller has, or may have, reported to a user as cancelled.
 */
class Leadership(
    private val context: TermContext,
    private val gracePeriod: Duration,
    workerContact: WorkerContact,
    private val reportedCancelled: () -> Set<String>,
) {
    private val decisions = DecisionLog(context.term.token)
    private val settings = context.settings
    private val term = context.term
    private val clocks = context.clocks
    private val limits = settings.stateLimits
    private val records =
        RecordWriter(context.services.state, Condition(Keys.LEADER, term.token), limits.opsPerTransaction)
    private val startLog = StartLog(records, term.token, limits.valueBytes)
    private val cluster = ClusterState(records, startLog, limits.valueBytes, clocks)
    private val runTimes = RunTimes()
    private val reports = ReportProcessor(cluster, records, term.token, settings.workers.lease, runTimes, clocks)
    private val directCommands = DirectCommands(context, records, cluster, reports, ::areCancellationsCurrent)
    private val stopper = TaskStopper(cluster, directCommands, decisions)
    private val planning = PlanningLoop(context, cluster, startLog, runTimes, directCommands, stopper)
    private val jobs = JobLifecycle(context.services.state, records, cluster, clocks, context::requestPlan)
    private val health = TermHealth(context, cluster, workerContact, ::areCancellationsCurrent)
    private val termStart = clocks.mark()
    private val leaseRules = LeaseRules(
        term.token,
        settings.workers.lease,
        formerLeaderUntil = termStart + gracePeriod + LeaseRules.maxDuration(settings.workers.lease),
    )
    private val expiredLeases = ExpiredLeases(cluster, leaseRules, reports, decisions)
    private val writeRequests = Channel<Unit>(Channel.CONFLATED)

    /** Deferred writes get a fixed share of the changes that the state service accepts per second. */
    private val deferredWriteInterval = (limits.opsPerTransaction / (limits.writeRps * DEFERRED_WRITE_SHARE)).seconds
    private var nextDeferredWriteAt: ComparableTimeMark = termStart
    private var lastCheckAt: ComparableTimeMark = termStart
    private var isRebuilt = false

    /** No task is started before this time, because tasks may run that are not known yet. */
    private var startsAllowedFrom: ComparableTimeMark = termStart

    /** The time up to which this leader knows all cancellations reported to users. */
    val currentAsOf: ComparableTimeMark get() = jobs.currentAsOf

    /** Rebuilds the cluster state and starts the loops of the term. */
    fun start() {
        context.launch("term") { runTerm() }
    }

    /** The highest fencing token issued to any worker. */
    val highestToken: Long get() = cluster.tokens.highestIssued

    /** Applies a report and returns the response; null until the cluster state is rebuilt. */
    fun respond(report: Report): ReportResponse? {
        if (!isRebuilt) return null
        if (reports.applyReport(report, ReportSource.ANSWERED)) {
            context.requestPlan()
            requestWrite()
        }
        val machine = cluster.machines[report.host] ?: return ReportResponse(term.token, emptyList())
        // An out-of-order report gets no orders, as the task states that it lists may be out of date.
        val isNewest = report.session == machine.session && report.sequence == machine.sequence
        if (!isNewest) return ReportResponse(machine.commandToken.current, emptyList())
        val response = reports.response(machine, report)
        decisions.reportAnswered(report, response)
        machine.responseDelivery.recordResponse(response.token, response.firstStart)
        return response
    }

    /** Applies a report that must not be answered, as a response would renew the worker's lease. */
    fun applyUnanswered(report: Report) {
        if (isRebuilt && reports.applyReport(report, ReportSource.UNANSWERED)) context.requestPlan()
    }

    private suspend fun runTerm() {
        val readStartedAt = clocks.mark()
        val rebuild = Rebuild(context.services.state, records, cluster, startLog, decisions)
        val revision = rebuild.run()
        if (!rebuild.complete) startsAllowedFrom = leaseRules.formerLeaderUntil
        isRebuilt = true
        decisions.rebuilt(cluster, rebuild.complete)
        context.launch("watch of the jobs") { jobs.watch(revision, readStartedAt) }
        context.launch("writes") { writeLoop() }
        context.launch("provisioning") { planning.provisioning.run() }
        context.launch("tokens") { directCommands.propagateToken(gracePeriod + settings.workers.lease) }
        planLoop()
    }

    private fun requestWrite() {
        writeRequests.trySend(Unit)
    }

    /**
     * Whether the known cancellations are recent enough to start tasks. After an outage this leader may hold a valid
     * lease again before the watch delivers cancellations that were reported to users before the outage.
     */
    private fun areCancellationsCurrent() =
        jobs.currentAsOf.elapsedNow() < settings.workers.cancelLimit / MAX_WATCH_AGE_DIVISOR

    private suspend fun planLoop() {
        while (true) {
            context.awaitPlanRequest(MAX_PLAN_INTERVAL)
            if (!runChecks()) return term.end()
            val planDuration = clocks.monotonic.measureTime { planOrSendQueued() }
            if (!pauseWithChecks(pauseAfter(planDuration))) return term.end()
        }
    }

    /**
     * Runs what must not wait for the next plan: stops, and at intervals the expiry of leases and the checks of the
     * ledger and of this leader's health. False if this leader should step down.
     */
    private fun runChecks(): Boolean {
        if (lastCheckAt.elapsedNow() >= CHECK_INTERVAL) {
            lastCheckAt = clocks.mark()
            expiredLeases.expire()
            cluster.ledger.checkTotals(cluster.machines.values)
            if (!health.mayLead()) return false
        }
        stopper.requestStops(reportedCancelled())
        if (cluster.admission.withdrawUnsent { reports.removeLost(it, AbsenceProof.NeverSent) }) context.requestPlan()
        return true
    }

    /**
     * The pause after a plan. Planning blocks reports and user requests, so it gets a fixed share of the time. The
     * pause is bounded: a plan may have taken long by the clock only because the process was suspended, and that must
     * not delay the work a second time.
     */
    private fun pauseAfter(planDuration: Duration) =
        (planDuration * PLAN_PAUSE_FACTOR).coerceIn(MIN_PLAN_PAUSE, MAX_PLAN_PAUSE)

    /** Pauses between two plans and meanwhile stops cancelled tasks. False if this leader should step down. */
    private suspend fun pauseWithChecks(pause: Duration): Boolean {
        val deadline = clocks.mark() + pause
        while (true) {
            val remaining = deadline - clocks.mark()
            delay(remaining.coerceIn(Duration.ZERO, MAX_PAUSE_STEP))
            if (remaining <= MAX_PAUSE_STEP) return true
            if (!runChecks()) return false
            directCommands.sendQueued()
        }
    }

    private fun planOrSendQueued() {
        val mayStart = term.holdsLease && areCancellationsCurrent() && startsAllowedFrom.hasPassedNow()
        if (!mayStart) return directCommands.sendQueued()
        planning.plan(jobs.currentAsOf.elapsedNow())
        requestWrite()
    }

    private suspend fun writeLoop() {
        while (true) {
            withTimeoutOrNull(deferredWriteInterval) { writeRequests.receive() }
            records.flush()
            directCommands.sendQueued()
            jobs.finalizeJobs(afterEach = ::flushUrgentWrites)
            if (!records.hasUrgentWrites && nextDeferredWriteAt.hasPassedNow()) {
                records.flushDeferred()
                nextDeferredWriteAt = clocks.mark() + deferredWriteInterval
            }
        }
    }

    private suspend fun flushUrgentWrites() {
        if (!records.hasUrgentWrites) return
        records.flush()
        directCommands.sendQueued()
    }

    private companion object {
        /** A plan is made at least this often, as bids, ages and deadlines change without any event. */
        val MAX_PLAN_INTERVAL = 1.seconds

        /** The minimum pause between two plans, and the pause as a multiple of the last plan's duration. */
        val MIN_PLAN_PAUSE = 400.milliseconds
        const val PLAN_PAUSE_FACTOR = 8

        /** A plan for the largest fleets takes half a second in a slow process, and the pause is 8 times that. */
        val MAX_PLAN_PAUSE = 4.seconds

        /** The longest time without stops and checks during a pause. */
        val MAX_PAUSE_STEP = 1.seconds
        val CHECK_INTERVAL = 500.milliseconds

        /** Tasks are started only while the watch's data is younger than this fraction of `cancel_s`. */
        const val MAX_WATCH_AGE_DIVISOR = 4

        /** The share of the changes per second that deferred writes get. */
        const val DEFERRED_WRITE_SHARE = 0.4
    }
}
