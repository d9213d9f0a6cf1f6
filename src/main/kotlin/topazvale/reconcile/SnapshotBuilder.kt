package topazvale.reconcile

import topazvale.config.Settings
import topazvale.model.Clocks
import topazvale.model.JobSpec
import topazvale.model.Rank
import topazvale.scheduler.Snapshot
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Instant

/** The moment of a snapshot, by both clocks, with the run times as they are expected then. */
internal class SnapshotContext(val now: Instant, val mark: ComparableTimeMark, private val runTimes: RunTimes) {
    private val estimates = HashMap<String, Duration>()

    /** How long a task of the job is expected to run. */
    fun estimate(spec: JobSpec): Duration = estimates.getOrPut(spec.id) { runTimes.estimate(spec) }
}

/** Makes of the cluster state what the scheduler looks at. */
internal class SnapshotBuilder(
    private val settings: Settings,
    private val cluster: ClusterState,
    token: Long,
    private val runTimes: RunTimes,
    private val clocks: Clocks,
) {
    private val jobs = JobSnapshots(settings, cluster)
    private val machines = MachineSnapshots(settings, cluster, token)
    private var mostPerGpu = 0.0

    /** [forProvisioning]: what only the provisioner looks at is wanted too. */
    fun build(now: Instant, forProvisioning: Boolean): Snapshot {
        val context = SnapshotContext(now, clocks.mark(), runTimes)
        return Snapshot(
            now = now,
            jobs = jobs.waiting(context),
            machines = machines.all(context),
            types = cluster.types,
            teams = settings.teams,
            usage = cluster.usage(),
            usageComplete = cluster.isUsageComplete,
            objectives = settings.objectives,
            cpusPerGpu = cpusPerGpu(),
            services = jobs.services(now),
            runningByImage = count({ it.image }) { it.hasImage && it.stopGracePeriod == null && !isReplica(it) },
            placedByQueue = count({ it.queue }) { true },
            gpuWastingJobs = if (forProvisioning) misplaced() else emptyList(),
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
        for (job in cluster.jobs.values) counts.merge(by(job.spec), job.placements.all.count(which), Int::plus)
        return counts
    }

    /** Replicas end with their job alone: nobody may wait for the machine of one to become free. */
    private fun isReplica(placed: PlacedTask) = cluster.jobs[placed.start.task.job]?.spec?.isService == true

    private fun misplaced(): List<JobSpec> = cluster.machines.values
        .filter { (cluster.types[it.market.type]?.capacity?.gpus ?: 0.0) > 0.0 }
        .flatMap { machine -> machine.placements.values.mapNotNull { cluster.jobs[it.start.task.job]?.spec } }
        .filter { it.need.gpus == 0.0 && it.rank >= Rank.URGENT }
}
