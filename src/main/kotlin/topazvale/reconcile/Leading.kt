package topazvale.reconcile

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
import topazvale.model.JobStatus
import topazvale.model.Order
import topazvale.model.Report
import topazvale.model.Start
import topazvale.model.TaskId
import topazvale.net.Sockets
import topazvale.scheduler.LowestInWindow
import topazvale.scheduler.Placement
import topazvale.scheduler.Provisioner
import topazvale.scheduler.UrgencySlack
import topazvale.state.Commit
import topazvale.state.Outcome
import topazvale.state.StateService
import topazvale.store.DeposedException
import topazvale.store.JobRecords
import topazvale.store.Keys
import topazvale.store.Mirror
import topazvale.wire.Change
import topazvale.wire.Condition
import kotlin.time.Clock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlin.time.measureTime

/** One term of the leader: the picture is rebuilt from the records, then loops close the gap to what is wanted. */
class Leading(
    private val settings: Settings,
    private val term: Term,
    private val state: StateService,
    private val cloud: CloudService,
    private val workers: WorkerClient,
    private val sockets: Sockets,
    private val scope: CoroutineScope,
    private val grace: Duration,
) {
    private val log = LoggerFactory.getLogger(Leading::class.java)
    private val mirror = Mirror(state, Condition(Keys.LEADER, term.token), settings.stateLimits.ops)
    private val starts = StartLog(mirror, term.token, settings.stateLimits.valueBytes)
    private val fleet = Fleet(mirror, starts, settings.stateLimits.valueBytes)
    private val runTimes = RunTimes()
    private val reports = Reports(fleet, mirror, term.token, settings.workers.lease, runTimes)
    private val snapshots = Snapshots(settings, fleet, term.token, runTimes)
    private val tuning = settings.tuning
    private val slack = UrgencySlack(tuning.alpha, tuning.bootAllowance)
    private val bids = LowestInWindow(tuning.bidWindow, tuning.bidStep)
    private val placement = Placement()
    private val provisioner = Provisioner(slack, bids, tuning.keep)
    private val market = MarketLoop(settings, term, fleet, cloud, bids, ::wake)
    private val straight = StraightOrders(settings, term.token, mirror, fleet, reports, workers, sockets, scope, ::wake)
    private val began = TimeSource.Monotonic.markNow()
    private val wakes = Channel<Unit>(Channel.CONFLATED)
    private val writes = Channel<Unit>(Channel.CONFLATED)

    /** What can wait gets this much of the changes per second. */
    private val spareEvery = settings.stateLimits.let { (it.ops / (it.writeRps * SPARE_SHARE)).seconds }
    private var spareAt: ComparableTimeMark = began
    private var tended: ComparableTimeMark = began
    private var provisioned: ComparableTimeMark = began
    private var attempts = 0L
    private var ready = false

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

    private suspend fun lead() {
        val revision = Rebuild(state, mirror, fleet, starts).run()
        ready = true
        log.info("rebuilt {} jobs and {} machines", fleet.jobs.size, fleet.machines.size)
        scope.launch { guarded { watchJobs(revision) } }
        scope.launch { guarded { writeLoop() } }
        scope.launch { guarded { market.run() } }
        scope.launch { straight.raiseTokens(grace + settings.workers.lease) }
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
        val machine = fleet.machines[report.host]
        // To an older report there is nothing to say: what it shows may no longer be so.
        if (machine == null || report.session != machine.session || report.sequence != machine.sequence) return emptyList()
        return reports.orders(machine, report).also { orders ->
            machine.hearing.answered(orders.firstNotNullOfOrNull { (it as? Order.Run)?.start })
        }
    }

    private suspend fun watchJobs(from: Long) {
        var since = from
        while (true) {
            when (val seen = state.watch(Keys.JOBS, since, WATCH)) {
                is Outcome.Ok -> {
                    for (e in seen.value.events) jobChanged(e.key.removePrefix(Keys.JOBS), e.data, e.version)
                    since = seen.value.revision
                    if (seen.value.events.isNotEmpty()) wake()
                }
                is Outcome.Gone -> {
                    val (jobs, revision) = state.readAll(Keys.JOBS)
                    for (e in jobs) jobChanged(e.key.removePrefix(Keys.JOBS), e.data, e.version)
                    since = revision
                    wake()
                }
                else -> delay(RETRY)
            }
        }
    }

    private fun jobChanged(id: String, data: Map<String, Any?>?, version: Long) {
        // Only this leader removes jobs, and has then forgotten them.
        if (data == null) return
        val known = fleet.jobs[id]
        if (known == null) {
            fleet.jobs[id] = Job(JobRecords.decode(data), version)
        } else if (version > known.version) {
            known.record = JobRecords.decode(data)
            known.version = version
        }
    }

    private suspend fun planLoop() {
        while (true) {
            withTimeoutOrNull(TICK) { wakes.receive() }
            if (tended.elapsedNow() >= TEND_EVERY) {
                tended = TimeSource.Monotonic.markNow()
                expire()
                if (deaf()) {
                    log.warn("no worker is heard any more: somebody else may reach them")
                    return term.end()
                }
            }
            val took = if (term.certain) measureTime { plan() } else Duration.ZERO
            // Reports and users wait while a plan is made: plans get a fixed share of the time.
            delay(maxOf(SPACING, took * PLAN_REST))
        }
    }

    /**
     * A leader that reaches the state service but none of its workers must not hold the fleet: their leases would run
     * out under it. One silent machine says nothing; all of them together do.
     */
    private fun deaf(): Boolean {
        val known = fleet.machines.values.filter { it.session > 0 && !it.returning }
        val long = settings.workers.lease * DEAF_LEASES
        return known.size > 1 && known.all { (it.heard ?: it.met).elapsedNow() > long || it.hearing.deafFor > long }
    }

    private fun plan() {
        stopUnwanted()
        val now = Clock.System.now()
        val renting = market.open && provisioned.elapsedNow() >= PROVISION_EVERY
        val snapshot = snapshots.take(now, renting)
        val placing = placement.plan(snapshot)
        val placed = placing.assignments.flatMap { assign(it.job, it.host, it.tasks) }
        starts.record(placed)
        placing.preempted.forEach(::preempt)
        if (renting) {
            provisioned = TimeSource.Monotonic.markNow()
            market.want(provisioner.rents(snapshot, placing, market.refused(), MOST_RENTED))
        }
        for (host in provisioner.returns(snapshot)) {
            val machine = fleet.machines[host]
            if (machine != null && machine.placed.isEmpty()) machine.returning = true
        }
        writes.trySend(Unit)
    }

    private fun assign(id: String, host: String, tasks: Int): List<Placed> {
        val job = fleet.jobs.getValue(id)
        val machine = fleet.machines.getValue(host)
        if (!job.spec.isGang || job.placed.isEmpty()) attempts++
        val placed = job.nextTasks(tasks).map { index ->
            // The token makes attempts of different terms different.
            val start = Start(TaskId(id, index), term.token * ATTEMPTS_PER_TERM + attempts)
            fleet.place(start, machine, machine.session, job.spec.need, inherited = false)
        }
        straight.due(machine)
        fleet.fetches(machine, job.spec)
        log.debug("{} tasks of {} to {}", tasks, id, host)
        return placed
    }

    /** Ends what the lease of a silent worker must have ended. */
    private fun expire() {
        val lease = settings.workers.lease * DRIFT + MARGIN
        for (machine in fleet.machines.values) {
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

    private fun stopUnwanted() {
        for (job in fleet.jobs.values) {
            if (job.placed.isEmpty()) continue
            val broken = job.spec.isGang && !job.complete && job.placed.size < job.spec.tasks
            if (!job.live || broken) job.placed.values.forEach { stop(it, Duration.ZERO) }
        }
        for (machine in fleet.machines.values) if (machine.notice != null) drain(machine)
    }

    /** Spares what it can of the work on a machine that is about to be taken. */
    private fun drain(machine: Machine) {
        for (placed in machine.placed.values) {
            val job = fleet.jobs[placed.start.task.job] ?: continue
            if (placed.stop != null || (!job.spec.checkpoints && placed.onMachine)) continue
            val grace = saving(placed)
            if (job.spec.isGang) job.placed.values.forEach { stop(it, grace) } else stop(placed, grace)
        }
    }

    private fun preempt(start: Start) {
        val placed = fleet.jobs[start.task.job]?.placed?.get(start.task.index) ?: return
        if (placed.start != start) return
        log.debug("{} makes room", start)
        stop(placed, saving(placed))
    }

    /** The grace in which a task can save what it has done, or none where there is nothing to save. */
    private fun saving(placed: Placed): Duration {
        val spec = fleet.jobs[placed.start.task.job]?.spec
        return if (spec != null && spec.checkpoints && placed.onMachine) spec.saveTime + SAVE_MARGIN else Duration.ZERO
    }

    private fun stop(placed: Placed, grace: Duration) {
        val before = placed.stop
        if (before != null && grace >= before) return
        placed.stop = grace
        straight.due(placed.machine)
    }

    private suspend fun writeLoop() {
        while (true) {
            withTimeoutOrNull(spareEvery) { writes.receive() }
            mirror.flush()
            straight.deliver()
            for (job in fleet.jobs.values.toList()) {
                if (!over(job)) continue
                finish(job)
                // After an outage many jobs end at once: starts must not wait for all of them.
                if (mirror.waiting) mirror.flush().also { straight.deliver() }
            }
            if (!mirror.waiting && spareAt.hasPassedNow()) {
                mirror.flushSpare()
                spareAt = TimeSource.Monotonic.markNow() + spareEvery
            }
        }
    }

    private fun over(job: Job) = job.placed.isEmpty() && (job.complete || !job.live)

    private suspend fun finish(job: Job) {
        val id = job.spec.id
        job.finishing = true
        val status = if (job.live) JobStatus.DONE else JobStatus.WITHDRAWN
        val chunks = (job.spec.tasks - 1) / Keys.CHUNK_TASKS
        val commit = mirror.finish(
            listOf(Condition(Keys.job(id), job.version)),
            listOf(Change.Delete(Keys.job(id)), Change.Put(Keys.final(id), JobRecords.encodeFinal(status))),
            (0..chunks).map { Keys.chunk(id, it) } + Keys.display(id),
        )
        when (commit) {
            is Commit.Done -> fleet.jobs.remove(id)
            is Commit.Failed, is Commit.Unknown -> refresh(job)
            else -> delay(RETRY)
        }
        job.finishing = false
    }

    /** A user's cancellation came first, or our own word got lost: the key tells. */
    private suspend fun refresh(job: Job) {
        when (val found = state.get(Keys.job(job.spec.id))) {
            is Outcome.Ok -> jobChanged(job.spec.id, found.value.data, found.value.version)
            is Outcome.Gone -> {
                if (state.get(Keys.final(job.spec.id)) is Outcome.Ok) fleet.jobs.remove(job.spec.id)
            }
            else -> delay(RETRY)
        }
    }

    companion object {
        private val TICK = 1.seconds
        private val SPACING = 400.milliseconds
        private val RETRY = 200.milliseconds
        private val WATCH = 10.seconds
        private val MARGIN = 500.milliseconds
        private val SAVE_MARGIN = 1.seconds

        /** Steady clocks differ by up to 0.05%, ours and the worker's. */
        private const val DRIFT = 1.001
        private const val DEAF_LEASES = 0.5
        private const val MOST_RENTED = 200
        private const val SPARE_SHARE = 0.4
        private val TEND_EVERY = 500.milliseconds
        private val PROVISION_EVERY = 1.seconds
        private const val PLAN_REST = 8
        private const val ATTEMPTS_PER_TERM = 1L shl 28
    }
}
