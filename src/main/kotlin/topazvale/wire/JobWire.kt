package topazvale.wire

import topazvale.model.JobSpec
import topazvale.model.JobStatus
import topazvale.model.JobView
import topazvale.model.Rank
import topazvale.model.Resources
import topazvale.model.Shape
import topazvale.model.TaskId
import kotlin.time.DurationUnit

/** Bodies of the users' API: submissions, and responses to polls and cancellations. */
object JobWire {
    private const val MAX_TASKS = 100_000L
    private val idPattern = Regex("job-[0-9A-Za-z_-]{1,64}")
    private val shapes = mapOf("sweep" to Shape.ARRAY, "gang" to Shape.GANG, "service" to Shape.SERVICE)
    private val ranks = mapOf(
        "critical" to Rank.CRITICAL,
        "urgent" to Rank.URGENT,
        "normal" to Rank.NORMAL,
        "idle" to Rank.IDLE,
    )

    /** Whether [id] has the form of a job id. */
    fun isJobId(id: String) = idPattern.matches(id)

    /** Decodes the job id of a submission, even where the rest of the body is invalid; null where the id is. */
    fun decodeJobId(body: ByteArray): String? = try {
        (Cbor.decodeMap(body)["uid"] as? String)?.takeIf(::isJobId)
    } catch (ignored: MalformedException) {
        null
    }

    /** Decodes a submission; throws [MalformedException] for an invalid one. */
    fun decodeSubmission(body: ByteArray): JobSpec = decodeSpec(Cbor.decodeMap(body))

    /** Decodes a job from the fields of a submission; throws [MalformedException] for invalid fields. */
    fun decodeSpec(map: Map<String, Any?>): JobSpec {
        val fields = Fields(map)
        val spec = JobSpec(
            id = fields.string("uid"),
            queue = fields.string("queue"),
            team = fields.string("owner"),
            shape = shapes[fields.string("shape")] ?: invalid("shape"),
            rank = ranks[fields.string("rank")] ?: invalid("rank"),
            tasks = fields.integer("steps").also { if (it !in 1..MAX_TASKS) invalid("steps") }
                .toInt(),
            need = Resources(
                fields.nonNegativeNumber("cores"),
                fields.nonNegativeNumber("gpus"),
                fields.nonNegativeNumber("memoryGb"),
            ),
            types = fields.stringsOrNull("flavors"),
            zone = fields.stringOrNull("hall"),
            oneZone = fields.boolean("oneZone"),
            spread = fields.boolean("spread"),
            spotAllowed = fields.boolean("standby"),
            image = fields.string("bundle"),
            imageGb = fields.nonNegativeNumber("sizeGb"),
            estimate = fields.duration("expectS"),
            checkpointInterval = fields.duration("snapshotS"),
            saveTime = fields.duration("flushS"),
            deadlineAfter = fields.durationOrNull("dueS"),
        )
        if (!isJobId(spec.id)) invalid("uid")
        return spec
    }

    /** Decodes a job from its record. Earlier versions stored durations of more than 4.6e15 seconds as infinite. */
    fun decodeStoredSpec(map: Map<String, Any?>): JobSpec =
        decodeSpec(map.mapValues { (_, value) -> if (value == Double.POSITIVE_INFINITY) Double.MAX_VALUE else value })

    private fun invalid(field: String): Nothing = throw MalformedException("invalid field: $field")

    /** Encodes a job as the fields of its submission, the form in which the state service stores it. */
    fun encodeSpec(spec: JobSpec): Map<String, Any?> = buildMap {
        put("uid", spec.id)
        put("queue", spec.queue)
        put("owner", spec.team)
        put("shape", shapes.entries.first { it.value == spec.shape }.key)
        put("rank", ranks.entries.first { it.value == spec.rank }.key)
        put("steps", spec.tasks)
        put("cores", spec.need.cpus)
        put("gpus", spec.need.gpus)
        put("memoryGb", spec.need.memoryGb)
        spec.types?.let { put("flavors", it) }
        spec.zone?.let { put("hall", it) }
        put("oneZone", spec.oneZone)
        put("spread", spec.spread)
        put("standby", spec.spotAllowed)
        put("bundle", spec.image)
        put("sizeGb", spec.imageGb)
        put("expectS", spec.estimate.toDouble(DurationUnit.SECONDS))
        put("snapshotS", spec.checkpointInterval.toDouble(DurationUnit.SECONDS))
        put("flushS", spec.saveTime.toDouble(DurationUnit.SECONDS))
        spec.deadlineAfter?.let { put("dueS", it.toDouble(DurationUnit.SECONDS)) }
    }

    /** Encodes the response to a poll. */
    fun encodeStatus(job: JobView): Map<String, Any?> = mapOf(
        "uid" to job.id,
        "status" to when (job.status) {
            JobStatus.DONE -> "done"
            JobStatus.CANCELLED -> "withdrawn"
            JobStatus.LIVE -> if (job.running > 0) "running" else "queued"
        },
        "done" to job.done,
        "running" to job.running,
    )

    /** Encodes the response to a cancellation. */
    fun encodeCancellation(job: JobView): Map<String, Any?> =
        encodeStatus(job).filterKeys { it == "uid" || it == "status" }

    /** Parses a task id of the form `job/index`; returns null for any other text. */
    fun parseTaskId(text: String): TaskId? {
        val slash = text.lastIndexOf('/')
        val index = if (slash > 0) text.substring(slash + 1).toIntOrNull() else null
        return index?.takeIf { it >= 0 }?.let { TaskId(text.substring(0, slash), it) }
    }
}
