package topazvale.reconcile

import topazvale.config.Settings
import topazvale.model.Clocks
import topazvale.model.JobSpec
import topazvale.model.Rank
import topazvale.scheduler.Snapshot
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Instant

/** The time of a snapshot on the wall clock and the monotonic clock, and the run times expected at that time. */
internal class SnapshotContext(val now: Instant, val mark: ComparableTimeMark, private val runTimes: RunTimes) {
    private val estimates = HashMap<String, Duration>()

    /** Returns the expected run time of a task of the job, which stays the same within a snapshot. */
    fun estimate(spec: JobSpec): Duration = estimates.getOrPut(spec.id) { runTimes.estimate(spec) }
}

/** Builds the scheduler's input from the cluster state. */
internal class SnapshotBuilder(
    private val settings: Settings,
    private val cluster: ClusterState,
    token: Long,
    private val runTimes: RunTimes,
    private val clocks: Clocks,
) {
    private val jobs = JobSnapshots(settings, cluster)
    private val machines = MachineSnapshots(settings, cluster, token)
    private var maxCpusPerGpu = 0.0

    /** Builds a snapshot; [forProvisioning] includes what only the provisioner reads. */
    fun build(now: Instant, forProvisioning: Boolean): Snapshot {
        val context = SnapshotContext(now, clocks.mark(), runTimes)
        return Snapshot(
            now = now,
            jobs = jobs.waitingJobs(context),
            machines = machines.all(context),
            types = cluster.types,
            teams = settings.teams,
            usage = cluster.usage(),
            usageComplete = cluster.isUsageComplete,
            objectives = settings.objectives,
            cpusPerGpu = cpusPerGpu(),
            services = jobs.serviceLoads(now),
            runningByImage = countTasks({ it.image }) { it.hasImage && it.stopRequest == null && !isReplica(it) },
            placedByQueue = countTasks({ it.queue }) { true },
            gpuWastingJobs = if (forProvisioning) gpuWastingJobs() else emptyList(),
        )
    }

    /** The highest number of CPUs per GPU that any job of this term has requested. */
    private fun cpusPerGpu(): Double {
        for (job in cluster.jobs.values) {
            val need = job.spec.need
            if (need.gpus > 0.0) maxCpusPerGpu = maxOf(maxCpusPerGpu, need.cpus / need.gpus)
        }
        return maxCpusPerGpu
    }

    private fun countTasks(by: (JobSpec) -> String, predicate: (PlacedTask) -> Boolean): Map<String, Int> {
        val counts = HashMap<String, Int>()
        for (job in cluster.jobs.values) counts.merge(by(job.spec), job.placements.all.count(predicate), Int::plus)
        return counts
    }

    /** A replica runs until its job ends, so no other job may wait for it to release its machine. */
    private fun isReplica(placed: PlacedTask) = cluster.jobs[placed.start.task.job]?.spec?.isService == true

    /** The job of every urgent task that needs no GPU and is placed on a machine with GPUs. */
    private fun gpuWastingJobs(): List<JobSpec> = cluster.machines.values
        .filter { (cluster.types[it.market.type]?.capacity?.gpus ?: 0.0) > 0.0 }
        .flatMap { machine -> machine.placements.values.mapNotNull { cluster.jobs[it.start.task.job]?.spec } }
        .filter { it.need.gpus == 0.0 && it.rank >= Rank.URGENT }
}
