package topazvale.model

import kotlin.time.Duration
import kotlin.time.Instant

/** Ordered: a later rank may take room from an earlier one. */
enum class Rank { IDLE, NORMAL, URGENT, CRITICAL }

/** The tasks of a [SERVICE], its replicas, run until its user cancels it; each that ends runs again. */
enum class Shape { ARRAY, GANG, SERVICE }

/** What a user asked for. Never changes once accepted. */
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

    /** A replica is not worth waiting for: it ends with what it could save, and serves again elsewhere. */
    val checkpoints get() = checkpointInterval > Duration.ZERO && !isService

    /** How many of its tasks may be in one zone. */
    val zoneLimit get() = if (spread) (tasks + 1) / 2 else Int.MAX_VALUE

    /** All its tasks are meant to run at once. */
    val runsAllTasksAtOnce get() = isGang || isService
}

/** Whether users may still expect work of a job; [DONE] and [CANCELLED] are for ever. */
enum class JobStatus { LIVE, DONE, CANCELLED }

/** A job as the state service keeps it. */
data class JobRecord(val spec: JobSpec, val submitted: Instant, val status: JobStatus) {
    val deadline: Instant? get() = spec.deadlineAfter?.let { submitted + it }
}

/** What a poll shows. */
data class JobView(val id: String, val status: JobStatus, val done: Int, val running: Int)

/** A task of a job, by its number. */
data class TaskId(val job: String, val index: Int) {
    override fun toString() = "$job/$index"
}

/** One start of one task. Attempt numbers are never used twice. */
data class Start(val task: TaskId, val attempt: Long)

/** What an objective is about. */
enum class ObjectiveKind { STARTED, FINISHED, DEADLINE }

/**
 * What the users of a class expect: its jobs started or finished within a time, or done by a multiple of their
 * deadline.
 */
data class Objective(val queue: String, val kind: ObjectiveKind, val within: Duration, val deadlineFactor: Double)

/** A team with what it is guaranteed and may use at most; null: no limit. */
data class Team(val name: String, val guaranteed: Resources, val limitCpus: Double?, val limitGpus: Double?)
