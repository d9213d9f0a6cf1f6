package topazvale.reconcile

import topazvale.config.Settings
import topazvale.model.JobSpec
import topazvale.model.Resources
import topazvale.scheduler.ServiceLoad
import topazvale.scheduler.WaitingJob
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** The jobs of a snapshot: those with tasks to place, and the services that may get further replicas. */
internal class JobSnapshots(private val settings: Settings, private val cluster: ClusterState) {
    private data class ReplicaNeeds(val queue: String, val need: Resources, val spotAllowed: Boolean)

    /** Jobs that may start and have tasks without a placement, in the order of their submission. */
    fun waitingJobs(context: SnapshotContext): List<WaitingJob> {
        val claimed = HashMap<String, Resources>()
        return cluster.jobs.values.mapNotNull { job ->
            // Evaluated for every job: earlier jobs count against the guarantee even if none of their tasks waits.
            val guaranteed = withinGuarantee(job, claimed)
            if (job.pendingTasks > 0 && canStart(job)) waitingJob(job, guaranteed, context) else null
        }
    }

    /** The load of services, grouped by what a replica needs: services with equal needs are treated as one. */
    fun serviceLoads(now: Instant): List<ServiceLoad> = cluster.jobs.values
        .filter { it.spec.isService && it.shouldRun }
        .groupBy { ReplicaNeeds(it.spec.queue, it.spec.need, it.spec.spotAllowed) }
        .values
        .map { jobs -> serviceLoad(jobs, now) }

    private fun waitingJob(job: ManagedJob, guaranteed: Boolean, context: SnapshotContext): WaitingJob {
        val spec = job.spec
        return WaitingJob(
            spec = spec,
            submitted = job.record.submitted,
            deadline = job.record.deadline,
            pendingTasks = job.pendingTasks,
            placedByZone = if (isBoundByZones(spec)) HashMap(job.placements.byZone) else emptyMap(),
            placedByHost = if (spec.isService) countPlacementsByHost(job) else emptyMap(),
            hasStarted = job.placements.isNotEmpty() || job.doneCount > 0,
            estimate = context.estimate(spec),
            withinGuarantee = guaranteed,
        )
    }

    private fun isBoundByZones(spec: JobSpec) = spec.oneZone || spec.spread || spec.isService

    private fun countPlacementsByHost(job: ManagedJob): Map<String, Int> =
        job.placements.all.groupingBy { it.machine.host }.eachCount()

    private fun serviceLoad(jobs: List<ManagedJob>, now: Instant): ServiceLoad {
        val recent = jobs.filter { now - it.record.submitted < ARRIVAL_WINDOW }
        return ServiceLoad(
            sampleSpec = jobs.last().spec,
            largestReplicaCount = jobs.maxOf { it.spec.tasks },
            replicasPerSecond = recent.sumOf { it.spec.tasks } / ARRIVAL_WINDOW.inWholeSeconds.toDouble(),
        )
    }

    private fun canStart(job: ManagedJob): Boolean {
        val backoffEnded = job.notBefore?.hasPassedNow() != false
        // A gang restarts only after every task of its last attempt is confirmed absent.
        val gangAbsent = !job.spec.isGang || job.placements.isEmpty()
        return job.shouldRun && !job.isFinalizing && backoffEnded && gangAbsent
    }

    /**
     * Whether the job and the team's earlier jobs fit into the resources that the team is guaranteed. Must be called in
     * the order of submission. A guaranteed amount of 0 means no guarantee of that resource, and sets no limit: work
     * without GPUs is within a guarantee of GPUs alone.
     */
    private fun withinGuarantee(job: ManagedJob, claimed: MutableMap<String, Resources>): Boolean {
        if (!job.isLive) return false
        val team = settings.teams[job.spec.team] ?: return false
        val remaining = job.spec.need * (job.spec.tasks - job.doneCount)
        val sum = claimed.merge(team.name, remaining, Resources::plus) ?: remaining
        val guaranteed = team.guaranteed
        val gpusWithin = sum.gpus <= guaranteed.gpus || sum.gpus == 0.0
        val cpusWithin = guaranteed.cpus == 0.0 || sum.cpus <= guaranteed.cpus
        return guaranteed != Resources.NONE && gpusWithin && cpusWithin
    }

    private companion object {
        /** The arrival rate of replicas is averaged over this period, because services come and go. */
        val ARRIVAL_WINDOW = 60.seconds
    }
}
