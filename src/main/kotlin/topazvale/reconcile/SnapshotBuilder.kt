package topazvale.reconcile

import topazvale.config.Settings
import topazvale.model.Clocks
import topazvale.model.JobSpec
import topazvale.model.MachineType
import topazvale.model.Rank
import topazvale.model.Resources
import topazvale.scheduler.CapacityRelease
import topazvale.scheduler.JobOrder
import topazvale.scheduler.MachineState
import topazvale.scheduler.ServiceLoad
import topazvale.scheduler.Snapshot
import topazvale.scheduler.WaitingJob
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Makes of the leader's picture what the scheduler looks at. */
class SnapshotBuilder(
    private val settings: Settings,
    private val cluster: ClusterState,
    private val token: Long,
    private val runTimes: RunTimes,
    private val clocks: Clocks,
) {
    private var mostPerGpu = 0.0

    /** One moment, and what has been worked out about it. */
    private inner class Moment(val now: Instant, val mark: ComparableTimeMark) {
        private val estimates = HashMap<String, Duration>()

        fun estimate(spec: JobSpec): Duration = estimates.getOrPut(spec.id) { runTimes.estimate(spec) }
    }

    /** [renting]: what only the provisioner looks at is wanted too. */
    fun take(now: Instant, renting: Boolean): Snapshot {
        val moment = Moment(now, clocks.mark())
        return Snapshot(
            now = now,
            jobs = waiting(moment),
            machines = cluster.machines.values.mapNotNull { m ->
                cluster.types[m.market.type]?.let { machine(m, it, moment) }
            },
            types = cluster.types,
            teams = settings.teams,
            usage = cluster.usage(),
            objectives = settings.objectives,
            cpusPerGpu = cpusPerGpu(),
            services = services(now),
            running = count({ it.image }) { it.onMachine && it.stop == null && !isReplica(it) },
            placed = count({ it.queue }) { true },
            misplaced = if (renting) misplaced() else emptyList(),
        )
    }

    /** The most that any job of this term has asked for. */
    private fun cpusPerGpu(): Double {
        for (job in cluster.jobs.values) {
            val need = job.spec.need
            if (need.gpus > 0.0) mostPerGpu = maxOf(mostPerGpu, need.cpus / need.gpus)
        }
        return mostPerGpu
    }

    private fun count(by: (JobSpec) -> String, which: (PlacedTask) -> Boolean): Map<String, Int> {
        val counts = HashMap<String, Int>()
        for (job in cluster.jobs.values) counts.merge(by(job.spec), job.placed.values.count(which), Int::plus)
        return counts
    }

    /** Replicas end with their job alone: nobody may wait for the machine of one to become free. */
    private fun isReplica(placed: PlacedTask) = cluster.jobs[placed.start.task.job]?.spec?.isService == true

    private fun misplaced(): List<JobSpec> = cluster.machines.values
        .filter { (cluster.types[it.market.type]?.capacity?.gpus ?: 0.0) > 0.0 }
        .flatMap { m -> m.placed.values.mapNotNull { cluster.jobs[it.start.task.job]?.spec } }
        .filter { it.need.gpus == 0.0 && it.rank >= Rank.URGENT }

    private fun waiting(moment: Moment): List<WaitingJob> {
        val claimed = HashMap<String, Resources>()
        return cluster.jobs.values.mapNotNull { job ->
            val guaranteed = withinGuarantee(job, claimed)
            val pending = job.pending
            if (pending == 0 || !startable(job)) return@mapNotNull null
            WaitingJob(
                spec = job.spec,
                submitted = job.record.submitted,
                deadline = job.record.deadline,
                pending = pending,
                placedIn = if (job.spec.oneZone || job.spec.spread || job.spec.isService) zones(job) else emptyMap(),
                placedOn = if (job.spec.isService) {
                    job.placed.values.groupingBy {
                        it.machine.host
                    }.eachCount()
                } else {
                    emptyMap()
                },
                begun = job.placed.isNotEmpty() || job.doneCount > 0,
                estimate = moment.estimate(job.spec),
                withinGuarantee = guaranteed,
            )
        }
    }

    /** By what a replica needs: services that ask for the same are looked after together. */
    private fun services(now: Instant): List<ServiceLoad> = cluster.jobs.values.filter { it.spec.isService && it.wanted }
        .groupBy { Triple(it.spec.queue, it.spec.need, it.spec.spotAllowed) }.values
        .map { jobs ->
            val recent = jobs.filter { now - it.record.submitted < ARRIVALS_OVER }
            ServiceLoad(
                jobs.last().spec,
                jobs.maxOf { it.spec.tasks },
                recent.sumOf { it.spec.tasks } / ARRIVALS_OVER.inWholeSeconds.toDouble(),
            )
        }

    private fun zones(job: ManagedJob) = job.placed.values.groupingBy { it.machine.market.zone }.eachCount()

    /** A gang starts anew only when nothing of its last attempt is left anywhere. */
    private fun startable(job: ManagedJob): Boolean = job.wanted && !job.finishing && job.notBefore?.hasPassedNow() != false &&
        (!job.spec.isGang || job.placed.isEmpty())

    /**
     * Jobs come in the order of their submission. An amount of 0 guarantees nothing of its kind, and binds nothing
     * either: work without GPUs is within a guarantee of GPUs alone.
     */
    private fun withinGuarantee(job: ManagedJob, claimed: MutableMap<String, Resources>): Boolean {
        if (!job.live) return false
        val team = settings.teams[job.spec.team] ?: return false
        val left = job.spec.need * (job.spec.tasks - job.doneCount)
        val sum = claimed.merge(team.name, left, Resources::plus) ?: left
        val g = team.guaranteed
        return (g.gpus > 0.0 || g.cpus > 0.0) &&
            (sum.gpus <= g.gpus || sum.gpus == 0.0) && (g.cpus == 0.0 || sum.cpus <= g.cpus)
    }

    private fun machine(m: ManagedMachine, type: MachineType, moment: Moment): MachineState? {
        if (m.returning || m.failed || m.notice != null || m.faults >= FAULTS) return null
        val heard = m.heard
        val present = heard != null && moment.mark - heard < settings.workers.report * REPORTS_MISSED && m.responses.good
        // A word from before our term may be a late copy: of a machine that has gone since, or a session that is over.
        val up = present && (m.ours || m.token >= token)
        val booting = heard == null &&
            (moment.now - m.rented < type.boot * BOOT_PATIENCE || m.met.elapsedNow() < settings.workers.lease)
        if (!present && !booting) return null
        return MachineState(
            host = m.host,
            market = m.market,
            type = type,
            free = type.capacity - m.used,
            starts = MOST_STARTS - m.placed.size,
            up = up,
            readyIn = if (present) Duration.ZERO else (m.rented + type.boot - moment.now).coerceAtLeast(Duration.ZERO),
            images = m.images,
            arriving = m.arriving,
            releases = if (up) {
                lazy(LazyThreadSafetyMode.NONE) {
                    m.placed.values.map { release(it, moment) }
                }
            } else {
                NO_ENDINGS
            },
            idleFor = if (m.placed.isEmpty()) moment.mark - m.idleSince else null,
        )
    }

    /** A job that got its beginning by its age would lose it at once to those it went before. */
    private fun spared(job: ManagedJob, moment: Moment) =
        job.doneCount == 0 && !job.spec.isService && moment.now - job.record.submitted > JobOrder.PATIENCE

    private fun release(p: PlacedTask, moment: Moment): CapacityRelease {
        val job = cluster.jobs[p.start.task.job]
        val spec = job?.spec
        val ran = p.runningSince?.let { moment.mark - it } ?: Duration.ZERO
        return CapacityRelease(
            start = p.start,
            need = p.need,
            within = if (spec ==
                null
            ) {
                Duration.ZERO
            } else if (spec.isService &&
                p.stop == null
            ) {
                Duration.INFINITE
            } else {
                (moment.estimate(spec) - ran).coerceAtLeast(Duration.ZERO)
            },
            rank = spec?.rank ?: Rank.NORMAL,
            lost = if (spec == null || spec.isGang || spared(job, moment)) {
                null
            } else if (spec.isService) {
                SERVICE_LOSS
            } else if (spec.checkpoints) {
                minOf(ran, spec.saveTime)
            } else {
                ran
            },
            stopping = p.stop != null,
            pressing = job == null || JobOrder.pressing(job.record.deadline, moment.estimate(job.spec), moment.now),
        )
    }

    companion object {
        /** A machine that misses this many reports gets nothing new. */
        const val REPORTS_MISSED = 2.5

        /** A machine that takes longer than this many usual boot times is not waited for. */
        const val BOOT_PATIENCE = 3

        /** A machine on which this many starts in a row failed is faulty. */
        const val FAULTS = 3

        /** What a machine reports of this many starts stays well below the limit of a body. */
        private const val MOST_STARTS = 400

        /** Services come and go: over how long what came is counted. */
        private val ARRIVALS_OVER = 60.seconds

        /** Other work is stopped before a replica is. */
        private val SERVICE_LOSS = 600.seconds
        private val NO_ENDINGS = lazyOf(emptyList<CapacityRelease>())
    }
}
