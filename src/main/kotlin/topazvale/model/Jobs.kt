package topazvale.model

import kotlin.time.Duration
import kotlin.time.Instant

/** Priority of a job, lowest first: a higher rank may preempt a lower one. */
enum class Rank { IDLE, NORMAL, URGENT, CRITICAL }

/** The tasks of a [SERVICE], its replicas, run until its user cancels it; a replica that exits is restarted. */
enum class Shape { ARRAY, GANG, SERVICE }

/** A job as submitted by its user. It never changes once accepted. */
data class JobSpec(
    val id: String,
    val queue: String,
    val team: String,
    val shape: Shape,
    val rank: Rank,
    val tasks: Int,
    val need: Resources,
    val types: List<String>?,
    val zone: String?,
    val oneZone: Boolean,
    val spread: Boolean,
    val spotAllowed: Boolean,
    val image: String,
    val imageGb: Double,
    val estimate: Duration,
    val checkpointInterval: Duration,
    val saveTime: Duration,
    val deadlineAfter: Duration?,
) {
    val isGang get() = shape == Shape.GANG
    val isService get() = shape == Shape.SERVICE

    /**
     * Whether its tasks save checkpoints that are worth waiting for. Those of a replica are not: it is stopped with the
     * progress it could save, and restarts elsewhere.
     */
    val checkpoints get() = checkpointInterval > Duration.ZERO && !isService

    /** The maximum number of its tasks in one zone. */
    val zoneLimit get() = if (spread) (tasks + 1) / 2 else Int.MAX_VALUE

    /** Whether all its tasks are meant to run at the same time. */
    val runsAllTasksAtOnce get() = isGang || isService
}

/** Whether a job may still run; [DONE] and [CANCELLED] are final. */
enum class JobStatus { LIVE, DONE, CANCELLED }

/** A job as stored in the state service. */
data class JobRecord(val spec: JobSpec, val submitted: Instant, val status: JobStatus) {
    val deadline: Instant? get() = spec.deadlineAfter?.let { submitted + it }
}

/** The state of a job as returned to a poll. */
data class JobView(val id: String, val status: JobStatus, val done: Int, val running: Int)

/** A task of a job, identified by its index. */
data class TaskId(val job: String, val index: Int) {
    override fun toString() = "$job/$index"
}

/** One start of a task. Attempt numbers are never reused. */
data class Start(val task: TaskId, val attempt: Long)

/** What an objective limits: the time to the start, the time to the finish, or the finish relative to the deadline. */
enum class ObjectiveKind { STARTED, FINISHED, DEADLINE }

/**
 * A service level objective of a queue: its jobs start or finish [within] a time after submission, or finish within
 * [deadlineFactor] times the time to their deadline.
 */
data class Objective(val queue: String, val kind: ObjectiveKind, val within: Duration, val deadlineFactor: Double)

/** A team with its guaranteed resources and its limits; a null limit means unlimited. */
data class Team(val name: String, val guaranteed: Resources, val limitCpus: Double?, val limitGpus: Double?)
