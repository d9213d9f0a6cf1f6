package topazvale.reconcile

import topazvale.config.Settings
import topazvale.model.JobSpec
import topazvale.model.Resources
import topazvale.scheduler.ServiceLoad
import topazvale.scheduler.WaitingJob
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** The jobs of a snapshot: those with tasks to place, and the services whose replicas may come. */
internal class JobSnapshots(private val settings: Settings, private val cluster: ClusterState) {
    private data class ReplicaKind(val queue: String, val need: Resources, val spotAllowed: Boolean)

    /** Jobs with tasks that are on no machine and may start, in the order of their submission. */
    fun waiting(context: SnapshotContext): List<WaitingJob> {
        val claimed = HashMap<String, Resources>()
        return cluster.jobs.values.mapNotNull { job ->
            // Asked for each job: the earlier ones count against the guarantee also where they do not wait.
            val guaranteed = withinGuarantee(job, claimed)
            if (job.pendingTasks > 0 && startable(job)) waiting(job, guaranteed, context) else null
        }
    }

    /** By what a replica needs: services that ask for the same are looked after together. */
    fun services(now: Instant): List<ServiceLoad> = cluster.jobs.values
        .filter { it.spec.isService && it.shouldRun }
        .groupBy { ReplicaKind(it.spec.queue, it.spec.need, it.spec.spotAllowed) }
        .values
        .map { jobs -> load(jobs, now) }

    private fun waiting(job: ManagedJob, guaranteed: Boolean, context: SnapshotContext): WaitingJob {
        val spec = job.spec
        return WaitingJob(
            spec = spec,
            submitted = job.record.submitted,
            deadline = job.record.deadline,
            pendingTasks = job.pendingTasks,
            placedByZone = if (isBoundByZones(spec)) count(job) { it.market.zone } else emptyMap(),
            placedByHost = if (spec.isService) count(job) { it.host } else emptyMap(),
            hasStarted = job.placements.isNotEmpty() || job.doneCount > 0,
            estimate = context.estimate(spec),
            withinGuarantee = guaranteed,
        )
    }

    private fun isBoundByZones(spec: JobSpec) = spec.oneZone || spec.spread || spec.isService

    private fun count(job: ManagedJob, by: (ManagedMachine) -> String): Map<String, Int> =
        job.placements.all.groupingBy { by(it.machine) }.eachCount()

    private fun load(jobs: List<ManagedJob>, now: Instant): ServiceLoad {
        val recent = jobs.filter { now - it.record.submitted < ARRIVALS_WINDOW }
        return ServiceLoad(
            sampleSpec = jobs.last().spec,
            largestReplicaCount = jobs.maxOf { it.spec.tasks },
            replicasPerSecond = recent.sumOf { it.spec.tasks } / ARRIVALS_WINDOW.inWholeSeconds.toDouble(),
        )
    }

    private fun startable(job: ManagedJob): Boolean {
        val rested = job.notBefore?.hasPassedNow() != false
        // A gang starts anew only when nothing of its last attempt is left anywhere.
        val whole = !job.spec.isGang || job.placements.isEmpty()
        return job.shouldRun && !job.isFinalizing && rested && whole
    }

    /**
     * Jobs come in the order of their submission. An amount of 0 guarantees nothing of its kind, and binds nothing
     * either: work without GPUs is within a guarantee of GPUs alone.
     */
    private fun withinGuarantee(job: ManagedJob, claimed: MutableMap<String, Resources>): Boolean {
        if (!job.isLive) return false
        val team = settings.teams[job.spec.team] ?: return false
        val left = job.spec.need * (job.spec.tasks - job.doneCount)
        val sum = claimed.merge(team.name, left, Resources::plus) ?: left
        val guaranteed = team.guaranteed
        val gpusWithin = sum.gpus <= guaranteed.gpus || sum.gpus == 0.0
        val cpusWithin = guaranteed.cpus == 0.0 || sum.cpus <= guaranteed.cpus
        return guaranteed != Resources.NONE && gpusWithin && cpusWithin
    }

    private companion object {
        /** Services come and go: over how long what came is counted. */
        val ARRIVALS_WINDOW = 60.seconds
    }
}
