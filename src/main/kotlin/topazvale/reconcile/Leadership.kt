package topazvale.reconcile

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import topazvale.model.Order
import topazvale.model.Report
import topazvale.store.Keys
import topazvale.store.RecordWriter
import topazvale.wire.Condition
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

/**
 * One leadership term: rebuilds the cluster state from the records, then runs the loops that close the gap between the
 * desired and the actual state. Owns the cluster state; everything runs on the event loop of the context's scope.
 *
 * [grace] is for how long a leader that cannot be certain of its lease still answers reports. [reportedCancelled] gives
 * the jobs that users were told are cancelled, or may have been, by any controller that can be reached.
 */
class Leadership(
    private val context: TermContext,
    private val grace: Duration,
    private val reportedCancelled: () -> Set<String>,
) {
    private val decisions = DecisionLog(context.term.token)
    private val settings = context.settings
    private val term = context.term
    private val clocks = context.clocks
    private val limits = settings.stateLimits
    private val records =
        RecordWriter(context.services.state, Condition(Keys.LEADER, term.token), limits.opsPerTransaction)
    private val starts = StartLog(records, term.token, limits.valueBytes)
    private val cluster = ClusterState(records, starts, limits.valueBytes, clocks)
    private val runTimes = RunTimes()
    private val reports = ReportProcessor(cluster, records, term.token, settings.workers.lease, runTimes, clocks)
    private val directCommands = DirectCommands(context, records, cluster, reports, ::knowsCancellations)
    private val stopper = TaskStopper(cluster, directCommands, decisions)
    private val planning = PlanningLoop(context, cluster, starts, runTimes, directCommands, stopper)
    private val jobs = JobLifecycle(context.services.state, records, cluster, clocks, context::requestPlan)
    private val health = TermHealth(settings, term, cluster, clocks, ::knowsCancellations)
    private val began = clocks.mark()
    private val leaseRules = LeaseRules(
        term.token,
        settings.workers.lease,
        formerLeaderUntil = began + grace + LeaseRules.longest(settings.workers.lease),
    )
    private val expiredLeases = ExpiredLeases(cluster, leaseRules, reports, decisions)
    private val writeRequests = Channel<Unit>(Channel.CONFLATED)

    /** What can wait gets a fixed share of the changes per second. */
    private val spareInterval = (limits.opsPerTransaction / (limits.writeRps * SPARE_SHARE)).seconds
    private var spareAt: ComparableTimeMark = began
    private var checkedAt: ComparableTimeMark = began
    private var ready = false

    /** Nothing is started before: which tasks run may not be known yet. */
    private var startsFrom: ComparableTimeMark = began

    /** Up to when all cancellations that users were told of are known. */
    val currentAsOf: ComparableTimeMark get() = jobs.currentAsOf

    /** Rebuilds the state and starts the loops. */
    fun start() {
        context.launch("term") { lead() }
    }

    /** The orders in answer to a report; null while the state is not rebuilt yet. */
    fun respond(report: Report): List<Order>? {
        if (!ready) return null
        if (reports.applyReport(report, ReportSource.ANSWERED)) {
            context.requestPlan()
            requestWrite()
        }
        val machine = cluster.machines[report.host]
        // To an older report there is nothing to say: what it shows may no longer be so.
        val current = machine != null && report.session == machine.session && report.sequence == machine.sequence
        if (machine == null || !current) return emptyList()
        val orders = reports.orders(machine, report)
        decisions.reportAnswered(report, orders)
        machine.responseDelivery.answered(orders.firstNotNullOfOrNull { (it as? Order.Run)?.start })
        return orders
    }

    /** Takes in a report that may not be answered, as that would renew its worker's lease. */
    fun applyUnanswered(report: Report) {
        if (ready && reports.applyReport(report, ReportSource.UNANSWERED)) context.requestPlan()
    }

    private suspend fun lead() {
        val read = clocks.mark()
        val rebuild = Rebuild(context.services.state, records, cluster, starts, decisions)
        val revision = rebuild.run()
        if (!rebuild.complete) startsFrom = leaseRules.formerLeaderUntil
        ready = true
        decisions.rebuilt(cluster, rebuild.complete)
        context.launch("watch of the jobs") { jobs.watch(revision, read) }
        context.launch("writes") { writeLoop() }
        context.launch("provisioning") { planning.provisioning.run() }
        context.launch("tokens") { directCommands.propagateToken(grace + settings.workers.lease) }
        planLoop()
    }

    private fun requestWrite() {
        writeRequests.trySend(Unit)
    }

    /**
     * Whether what users asked for is known well enough to start tasks. After an outage the lease may be certain before
     * the watch has told of cancellations that users learnt of before it.
     */
    private fun knowsCancellations() = jobs.currentAsOf.elapsedNow() < settings.workers.cancelLimit / KNOWN_WITHIN_PART

    private suspend fun planLoop() {
        while (true) {
            context.awaitPlanRequest(PLAN_INTERVAL)
            if (!mayGoOn()) return term.end()
            val took = clocks.monotonic.measureTime { planOrDeliver() }
            if (!rest(restAfter(took))) return term.end()
        }
    }

    /** What cannot wait for the next plan; false where this leader should give way. */
    private fun mayGoOn(): Boolean {
        if (checkedAt.elapsedNow() >= CHECK_INTERVAL) {
            checkedAt = clocks.mark()
            expiredLeases.expire()
            cluster.ledger.check(cluster.machines.values)
            if (!health.mayLead()) return false
        }
        stopper.requestStops(reportedCancelled())
        return true
    }

    /**
     * Reports and users wait while a plan is made: plans get a fixed share of the time. By the clock a plan may have
     * taken long because the process stood still in it, for which nobody should wait once more.
     */
    private fun restAfter(took: Duration) = (took * PLAN_REST_FACTOR).coerceIn(PLAN_REST, LONGEST_PLAN_REST)

    /** Rests between two plans; what is cancelled is stopped meanwhile. False where this leader should give way. */
    private suspend fun rest(span: Duration): Boolean {
        val until = clocks.mark() + span
        while (true) {
            val left = until - clocks.mark()
            delay(left.coerceIn(Duration.ZERO, REST_STEP))
            if (left <= REST_STEP) return true
            if (!mayGoOn()) return false
            directCommands.deliver()
        }
    }

    private fun planOrDeliver() {
        val mayStart = term.holdsLease && knowsCancellations() && startsFrom.hasPassedNow()
        if (!mayStart) return directCommands.deliver()
        planning.plan(jobs.currentAsOf.elapsedNow())
        requestWrite()
    }

    private suspend fun writeLoop() {
        while (true) {
            withTimeoutOrNull(spareInterval) { writeRequests.receive() }
            records.flush()
            directCommands.deliver()
            jobs.finalizeJobs(afterEach = ::flushIfWaiting)
            if (!records.hasUrgentWrites && spareAt.hasPassedNow()) {
                records.flushDeferred()
                spareAt = clocks.mark() + spareInterval
            }
        }
    }

    private suspend fun flushIfWaiting() {
        if (!records.hasUrgentWrites) return
        records.flush()
        directCommands.deliver()
    }

    private companion object {
        /** A plan is made at least this often: bids, ages and deadlines change with time alone. */
        val PLAN_INTERVAL = 1.seconds

        /** The least time between two plans, and how many times the duration of the last one is rested. */
        val PLAN_REST = 400.milliseconds
        const val PLAN_REST_FACTOR = 8

        /** The plans of the largest fleets take half a second of a slow process. */
        val LONGEST_PLAN_REST = 4.seconds

        /** In a longer rest stops and checks are not put off for more than this. */
        val REST_STEP = 1.seconds
        val CHECK_INTERVAL = 500.milliseconds

        /** The part of `cancel_s` within which the watch must have spoken for tasks to be started. */
        const val KNOWN_WITHIN_PART = 4

        /** The share of the changes per second that is left to what nobody waits for. */
        const val SPARE_SHARE = 0.4
    }
}
