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

/** A job with tasks that are on no machine. */
data class WaitingJob(
    val spec: JobSpec,
    val submitted: Instant,
    val deadline: Instant?,
    val pendingTasks: Int,
    /** How many of its tasks are, or may be, in each zone. */
    val placedByZone: Map<String, Int>,
    /** Some of its tasks are done, or may be on a machine. */
    val hasStarted: Boolean,
    val estimate: Duration,
    val withinGuarantee: Boolean,
    /** How many of its replicas are, or may be, on each machine. */
    val placedByHost: Map<String, Int> = emptyMap(),
)

/**
 * Services whose replicas need the same: a sample of them, the largest one's replicas, and how many come in a second.
 */
data class ServiceLoad(val sampleSpec: JobSpec, val largestReplicaCount: Int, val replicasPerSecond: Double)

/** Something on a machine that will give its room back, by itself or because it is stopped. */
data class CapacityRelease(
    val start: Start?,
    val need: Resources,
    val expectedIn: Duration,
    val rank: Rank = Rank.NORMAL,
    /** The work that stopping it now would lose; null where it must not be stopped for others. */
    val lostWork: Duration? = null,
    /** It has been told to stop. */
    val stopping: Boolean = false,
    /** Its job has to start about now to be in time. */
    val mustStartNow: Boolean = false,
)

/** A machine that is up or booting, with what is free on it. */
data class MachineState(
    val host: String,
    val market: Market,
    val type: MachineType,
    val free: Resources,
    /** Further starts it has space for in its reports. */
    val startSlots: Int,
    val up: Boolean,
    /** For a machine that is not up yet: when it should be. */
    val readyIn: Duration,
    val images: Set<String>,
    /** Those of the images that are still on their way, with their gigabytes. */
    val fetchingImages: Map<String, Double>,
    /** Worked out only where somebody asks. */
    val releases: Lazy<List<CapacityRelease>>,
    val idleFor: Duration?,
)

/** All that the scheduler looks at. */
data class Snapshot(
    val now: Instant,
    val jobs: List<WaitingJob>,
    val machines: List<MachineState>,
    val types: Map<String, MachineType>,
    val teams: Map<String, Team>,
    val usage: Map<String, Resources>,
    /** What the users of each class expect. */
    val objectives: Map<String, List<Objective>> = emptyMap(),
    /** The processors that the work with GPUs takes for each of them. */
    val cpusPerGpu: Double,
    /** How many tasks run with each image. */
    val runningByImage: Map<String, Int> = emptyMap(),
    /** How many tasks of each class have a place. */
    val placedByQueue: Map<String, Int> = emptyMap(),
    /** Urgent work without GPUs that runs on machines with them, as there was no other room. */
    val gpuWastingJobs: List<JobSpec> = emptyList(),
    val services: List<ServiceLoad> = emptyList(),
    /** Whether [usage] holds all that is on machines; otherwise any team may use more than it says. */
    val usageComplete: Boolean = true,
) {
    /** The price of the dearest machine there is. */
    val highestPrice: Double = types.values.maxOfOrNull { it.price } ?: 0.0

    /** Classes of which so much waits, beside what has a place, that not all can start in time. */
    val overloadedQueues: Set<String> by lazy(LazyThreadSafetyMode.NONE) {
        val waiting = jobs.groupingBy { it.spec.queue }.fold(0) { sum, job -> sum + job.pendingTasks }
        waiting.filter { (queue, tasks) -> tasks > (placedByQueue[queue] ?: 0) * CROWDED }.keys
    }

    private companion object {
        const val CROWDED = 0.5
    }
}

/** So many tasks of a job for a machine. */
data class Assignment(val job: String, val host: String, val tasks: Int)

/** What one placement decided. */
data class PlacementPlan(
    val assignments: List<Assignment>,
    val unplaced: List<WaitingJob>,
    /** What has to stop so that jobs of higher rank get its room. */
    val preempted: List<Start> = emptyList(),
    /** What is left free, by host, on machines that are up. */
    val freeByHost: Map<String, Resources> = emptyMap(),
    /** Replicas for which no room is kept yet, by sample. */
    val unreservedReplicas: List<WaitingJob> = emptyList(),
    /** Machines on which room is kept for replicas to come. */
    val reservedHosts: Set<String> = emptySet(),
)

/** So many machines of a market. */
data class RentalRequest(val market: Market, val count: Int)
