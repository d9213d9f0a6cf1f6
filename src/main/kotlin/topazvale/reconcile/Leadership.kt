package topazvale.reconcile

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import topazvale.cloud.CloudService
import topazvale.config.Settings
import topazvale.leader.Term
import topazvale.model.Clocks
import topazvale.model.Order
import topazvale.model.Report
import topazvale.model.Start
import topazvale.model.TaskId
import topazvale.net.Sockets
import topazvale.scheduler.LowestInWindow
import topazvale.scheduler.Placement
import topazvale.scheduler.Provisioner
import topazvale.scheduler.UrgencySlack
import topazvale.state.StateService
import topazvale.store.DeposedException
import topazvale.store.Keys
import topazvale.store.RecordWriter
import topazvale.wire.Condition

/** One term of the leader: the picture is rebuilt from the records, then loops close the gap to what is wanted. */
class Leadership(
    private val settings: Settings,
    private val term: Term,
    private val state: StateService,
    private val cloud: CloudService,
    private val workers: WorkerClient,
    private val sockets: Sockets,
    private val scope: CoroutineScope,
    private val clocks: Clocks,
    private val grace: Duration,
    /** Jobs that users were told are cancelled, or may have been, by any node that can be heard. */
    private val reportedCancelled: () -> Set<String>,
) {
    private val log = LoggerFactory.getLogger(Leadership::class.java)
    private val records = RecordWriter(state, Condition(Keys.LEADER, term.token), settings.stateLimits.ops)
    private val starts = StartLog(records, term.token, settings.stateLimits.valueBytes)
    private val cluster = ClusterState(records, starts, settings.stateLimits.valueBytes, clocks)
    private val runTimes = RunTimes()
    private val reports = ReportProcessor(cluster, records, term.token, settings.workers.lease, runTimes, clocks)
    private val snapshots = SnapshotBuilder(settings, cluster, term.token, runTimes, clocks)
    private val tuning = settings.tuning
    private val slack = UrgencySlack(tuning.alpha, tuning.bootAllowance)
    private val bids = LowestInWindow(tuning.bidWindow, tuning.bidStep)
    private val placement = Placement()
    private val provisioner = Provisioner(slack, bids, tuning.keep)
    private val provisioning = ProvisioningLoop(settings, term, cluster, cloud, bids, clocks, ::wake)
    private val directCommands = DirectCommands(settings, term.token, records, cluster, reports, workers, sockets, scope, clocks, ::knowsCancellations, ::wake)
    private val stopper = TaskStopper(cluster, directCommands)
    private val jobs = JobLifecycle(state, records, cluster, clocks, ::wake)
    private val began = clocks.mark()
    private val wakes = Channel<Unit>(Channel.CONFLATED)
    private val writes = Channel<Unit>(Channel.CONFLATED)

    /** What can wait gets this much of the changes per second. */
    private val spareEvery = settings.stateLimits.let { (it.ops / (it.writeRps * SPARE_SHARE)).seconds }
    private var spareAt: ComparableTimeMark = began
    private var maintainedAt: ComparableTimeMark = began
    private var provisionedAt: ComparableTimeMark = began
    private var uninformedSince: ComparableTimeMark? = null
    private var attempts = 0L
    private var ready = false

    /** Nothing is started before: what runs may not be known yet. */
    private var startsFrom: ComparableTimeMark = began

    fun start() {
        scope.launch { guarded { lead() } }
    }

    private suspend fun guarded(work: suspend () -> Unit) {
        try {
            work()
        } catch (e: DeposedException) {
            log.info("deposed: {}", e.message)
            term.end()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            // A leader without one of its loops would hold the fleet and do nothing with it.
            log.error("cannot go on leading", e)
            term.end()
        }
    }

    /** Up to when all cancellations that users were told of are known. */
    val seen: ComparableTimeMark get() = jobs.seen

    /**
     * Whether what users asked for is known well enough to start tasks. After an outage the lease may be certain before
     * the watch has told of cancellations that users learnt of before it.
     */
    private fun knowsCancellations() = jobs.seen.elapsedNow() < settings.workers.cancel / KNOWN_WITHIN_PART

    private suspend fun lead() {
        val read = clocks.mark()
        val rebuild = Rebuild(state, records, cluster, starts)
        val revision = rebuild.run()
        if (!rebuild.complete) startsFrom = began + grace + settings.workers.lease * DRIFT + MARGIN
        ready = true
        log.info("rebuilt {} jobs and {} machines", cluster.jobs.size, cluster.machines.size)
        scope.launch { guarded { jobs.watch(revision, read) } }
        scope.launch { guarded { writeLoop() } }
        scope.launch { guarded { provisioning.run() } }
        scope.launch { directCommands.raiseTokens(grace + settings.workers.lease) }
        planLoop()
    }

    private fun wake() {
        wakes.trySend(Unit)
    }

    /** The answer to a report; null while the picture is not yet complete. */
    fun answer(report: Report): List<Order>? {
        if (!ready) return null
        val changed = reports.take(report, direct = false)
        if (changed) {
            wake()
            writes.trySend(Unit)
        }
        val machine = cluster.machines[report.host]
        // To an older report there is nothing to say: what it shows may no longer be so.
        if (machine == null || report.session != machine.session || report.sequence != machine.sequence) return emptyList()
        return reports.orders(machine, report).also { orders ->
            machine.responses.answered(orders.firstNotNullOfOrNull { (it as? Order.Run)?.start })
        }
    }

    /** Takes in a report that may not be answered. */
    fun note(report: Report) {
        if (ready && reports.take(report, direct = true)) wake()
    }

    private suspend fun planLoop() {
        while (true) {
            withTimeoutOrNull(TICK) { wakes.receive() }
            if (maintainedAt.elapsedNow() >= MAINTENANCE_EVERY) {
                maintainedAt = clocks.mark()
                expire()
                if (hearsNoWorker()) {
                    log.warn("no worker is heard any more: somebody else may reach them")
                    return term.end()
                }
                if (isUninformed()) {
                    log.warn("no word of what users ask any more: somebody else may learn of it")
                    return term.end()
                }
            }
            stopper.unwanted(reportedCancelled())
            val took = if (term.certain && knowsCancellations() && startsFrom.hasPassedNow()) clocks.steady.measureTime { plan() } else Duration.ZERO.also { directCommands.deliver() }
            // Reports and users wait while a plan is made: plans get a fixed share of the time.
            delay(maxOf(SPACING, took * PLAN_REST))
        }
    }

    /**
     * A leader that reaches the state service but none of its workers must not hold the fleet: their leases would run
     * out under it. One silent machine says nothing; all of them together do.
     */
    private fun hearsNoWorker(): Boolean {
        val known = cluster.machines.values.filter { it.session > 0 && !it.returning }
        val long = settings.workers.lease * UNHEARD_LEASES
        return known.size > 1 && known.all { (it.noticed ?: it.met).elapsedNow() > long || it.responses.undeliveredFor > long }
    }

    /** Renewals that succeed while the watch says nothing: somebody else may be better served. An outage is another thing. */
    private fun isUninformed(): Boolean {
        if (!term.certain || knowsCancellations()) uninformedSince = null else if (uninformedSince == null) uninformedSince = clocks.mark()
        return uninformedSince?.let { it.elapsedNow() > settings.workers.lease / 2 } == true
    }

    private fun plan() {
        val now = clocks.now()
        val renting = provisioning.open && provisionedAt.elapsedNow() >= PROVISION_EVERY
        val snapshot = snapshots.take(now, renting)
        val placementPlan = placement.plan(snapshot)
        val placed = placementPlan.assignments.flatMap { assign(it.job, it.host, it.tasks) }
        starts.record(placed)
        placementPlan.preempted.forEach(stopper::preempt)
        if (renting) {
            provisionedAt = clocks.mark()
            provisioning.want(provisioner.rents(snapshot, placementPlan, provisioning.refused(), MOST_RENTED))
        }
        for (host in provisioner.returns(snapshot, placementPlan.reserved)) {
            val machine = cluster.machines[host]
            if (machine != null && machine.placed.isEmpty()) machine.returning = true
        }
        writes.trySend(Unit)
    }

    private fun assign(id: String, host: String, tasks: Int): List<PlacedTask> {
        val job = cluster.jobs.getValue(id)
        val machine = cluster.machines.getValue(host)
        if (!job.spec.isGang || job.placed.isEmpty()) attempts++
        val placed = job.nextTasks(tasks).map { index ->
            // The token makes attempts of different terms different.
            val start = Start(TaskId(id, index), term.token * ATTEMPTS_PER_TERM + attempts)
            cluster.place(start, machine, machine.session, job.spec.need, inherited = false)
        }
        directCommands.due(machine)
        cluster.fetches(machine, job.spec)
        log.debug("{} tasks of {} to {}", tasks, id, host)
        return placed
    }

    /** Ends what the lease of a silent worker must have ended. */
    private fun expire() {
        val lease = settings.workers.lease * DRIFT + MARGIN
        for (machine in cluster.machines.values) {
            if (machine.placed.isEmpty()) continue
            // Until a worker has seen our token a former leader may have kept its lease alive, for its grace at most;
            // and so may our own answer to its last report have.
            val byOthers = if (machine.token >= term.token) null else began + grace + lease
            val byUs = machine.heard?.let { it + lease }
            if (byOthers?.hasPassedNow() != false && byUs?.hasPassedNow() != false) {
                log.info("machine {} is silent: {} tasks given up", machine.host, machine.placed.size)
                machine.placed.values.toList().forEach(reports::lost)
            }
        }
    }

    private suspend fun writeLoop() {
        while (true) {
            withTimeoutOrNull(spareEvery) { writes.receive() }
            records.flush()
            directCommands.deliver()
            jobs.end { if (records.waiting) records.flush().also { directCommands.deliver() } }
            if (!records.waiting && spareAt.hasPassedNow()) {
                records.flushSpare()
                spareAt = clocks.mark() + spareEvery
            }
        }
    }

    private companion object {
        val TICK = 1.seconds
        val SPACING = 400.milliseconds
        val MARGIN = 500.milliseconds

        /** Steady clocks differ by up to 0.05%, ours and the worker's. */
        const val DRIFT = 1.001
        const val UNHEARD_LEASES = 0.5
        const val KNOWN_WITHIN_PART = 4
        const val MOST_RENTED = 200
        const val SPARE_SHARE = 0.4
        val MAINTENANCE_EVERY = 500.milliseconds
        val PROVISION_EVERY = 1.seconds
        const val PLAN_REST = 8
        const val ATTEMPTS_PER_TERM = 1L shl 28
    }
}
