package topazvale.scheduler

import topazvale.model.JobSpec
import topazvale.model.MachineType
import topazvale.model.Market
import topazvale.model.Objective
import topazvale.model.Rank
import topazvale.model.Resources
import topazvale.model.Start
import topazvale.model.Team
import kotlin.time.Duration
import kotlin.time.Instant

/** A job with tasks that are not placed on a machine. */
data class WaitingJob(
    val spec: JobSpec,
    val submitted: Instant,
    val deadline: Instant?,
    val pendingTasks: Int,
    /** How many of its tasks are, or may be, in each zone. */
    val placedByZone: Map<String, Int>,
    /** Whether some of its tasks are done, or may be on a machine. */
    val hasStarted: Boolean,
    val estimate: Duration,
    val withinGuarantee: Boolean,
    /** How many of its replicas are, or may be, on each machine. */
    val placedByHost: Map<String, Int> = emptyMap(),
)

/**
 * The load of services whose replicas have the same needs: the spec of one of them, the replica count of the largest,
 * and the number of replicas that are submitted per second.
 */
data class ServiceLoad(val sampleSpec: JobSpec, val largestReplicaCount: Int, val replicasPerSecond: Double)

/** A task on a machine that will release its resources, when it ends or because it is stopped. */
data class CapacityRelease(
    val start: Start?,
    val need: Resources,
    val expectedIn: Duration,
    val rank: Rank = Rank.NORMAL,
    /** The work that preempting the task now would lose; null if it must not be preempted. */
    val lostWork: Duration? = null,
    /** Whether the task has been ordered to stop. */
    val stopping: Boolean = false,
    /** Whether its job has to start about now to meet its deadline. */
    val mustStartNow: Boolean = false,
)

/** A machine that is up or booting, with its free capacity. */
data class MachineState(
    val host: String,
    val market: Market,
    val type: MachineType,
    val free: Resources,
    /** How many more starts the machine's reports have space for. */
    val startSlots: Int,
    val up: Boolean,
    /** The expected time until the machine is up; zero if it is. */
    val readyIn: Duration,
    val images: Set<String>,
    /** Those of the images that are still being fetched, with their sizes in gigabytes. */
    val fetchingImages: Map<String, Double>,
    /** Computed on demand. */
    val releases: Lazy<List<CapacityRelease>>,
    /** How long the machine has had no tasks; null while it has any. */
    val idleFor: Duration?,
)

/** The whole input of the scheduler. */
data class Snapshot(
    val now: Instant,
    val jobs: List<WaitingJob>,
    val machines: List<MachineState>,
    val types: Map<String, MachineType>,
    val teams: Map<String, Team>,
    val usage: Map<String, Resources>,
    /** The objectives of each queue. */
    val objectives: Map<String, List<Objective>> = emptyMap(),
    /** The CPUs that work with GPUs needs for each GPU. */
    val cpusPerGpu: Double,
    /** How many tasks run with each image. */
    val runningByImage: Map<String, Int> = emptyMap(),
    /** How many tasks of each queue are placed. */
    val placedByQueue: Map<String, Int> = emptyMap(),
    /** Urgent work without GPUs that runs on machines with GPUs because no other capacity was free. */
    val gpuWastingJobs: List<JobSpec> = emptyList(),
    val services: List<ServiceLoad> = emptyList(),
    /** Whether [usage] covers everything on the machines; otherwise any team may use more than it says. */
    val usageComplete: Boolean = true,
) {
    /** The highest on-demand price of all machine types. */
    val highestPrice: Double = types.values.maxOfOrNull { it.price } ?: 0.0

    /** Queues with so many waiting tasks, compared with the placed ones, that not all can start in time. */
    val overloadedQueues: Set<String> by lazy(LazyThreadSafetyMode.NONE) {
        val waiting = jobs.groupingBy { it.spec.queue }.fold(0) { sum, job -> sum + job.pendingTasks }
        waiting.filter { (queue, tasks) -> tasks > (placedByQueue[queue] ?: 0) * OVERLOAD_RATIO }.keys
    }

    private companion object {
        const val OVERLOAD_RATIO = 0.5
    }
}

/** Assigns a number of tasks of a job to a machine. */
data class Assignment(val job: String, val host: String, val tasks: Int)

/** The result of one planning pass. */
data class PlacementPlan(
    val assignments: List<Assignment>,
    val unplaced: List<WaitingJob>,
    /** Tasks that have to stop so that jobs of higher rank get their capacity. */
    val preempted: List<Start> = emptyList(),
    /** The free capacity that remains on machines that are up, where the plan changed it. */
    val freeByHost: Map<String, Resources> = emptyMap(),
    /** Future replicas for which no capacity is reserved yet, as jobs like the sample of their services. */
    val unreservedReplicas: List<WaitingJob> = emptyList(),
    /** Machines on which capacity is reserved for future replicas. */
    val reservedHosts: Set<String> = emptySet(),
)

/** A number of machines to rent in a market. */
data class RentalRequest(val market: Market, val count: Int)
