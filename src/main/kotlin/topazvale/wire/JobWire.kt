package topazvale.wire

import topazvale.model.JobSpec
import topazvale.model.JobStatus
import topazvale.model.JobView
import topazvale.model.Rank
import topazvale.model.Resources
import topazvale.model.Shape
import topazvale.model.TaskId
import kotlin.time.DurationUnit

/** Jobs as users send and see them. */
object JobWire {
    private const val MAX_TASKS = 100_000L
    private val idForm = Regex("job-[0-9A-Za-z_-]{1,64}")
    private val shapes = mapOf("sweep" to Shape.ARRAY, "gang" to Shape.GANG, "service" to Shape.SERVICE)
    private val ranks = mapOf(
        "critical" to Rank.CRITICAL,
        "urgent" to Rank.URGENT,
        "normal" to Rank.NORMAL,
        "idle" to Rank.IDLE,
    )

    /** Whether a text has the form of a job id. */
    fun isJobId(id: String) = idForm.matches(id)

    /** The id that a body names, also where nothing else of it can be used. */
    fun decodeJobId(body: ByteArray): String? = try {
        (Cbor.decodeMap(body)["uid"] as? String)?.takeIf(::isJobId)
    } catch (ignored: MalformedException) {
        null
    }

    /** A submission as users send it; throws for a malformed one. */
    fun decodeSubmission(body: ByteArray): JobSpec = decodeSpec(Cbor.decodeMap(body))

    /** A job from the fields of a submission. */
    fun decodeSpec(map: Map<String, Any?>): JobSpec {
        val f = Fields(map)
        val spec = JobSpec(
            id = f.text("uid"),
            queue = f.text("queue"),
            team = f.text("owner"),
            shape = shapes[f.text("shape")] ?: invalid("shape"),
            rank = ranks[f.text("rank")] ?: invalid("rank"),
            tasks = f.whole("steps").also { if (it !in 1..MAX_TASKS) invalid("steps") }
                .toInt(),
            need = Resources(f.amount("cores"), f.amount("gpus"), f.amount("memoryGb")),
            types = f.textsOrNull("flavors"),
            zone = f.textOrNull("hall"),
            oneZone = f.flag("oneZone"),
            spread = f.flag("spread"),
            spotAllowed = f.flag("standby"),
            image = f.text("bundle"),
            imageGb = f.amount("sizeGb"),
            estimate = f.span("expectS"),
            checkpointInterval = f.span("snapshotS"),
            saveTime = f.span("flushS"),
            deadlineAfter = f.spanOrNull("dueS"),
        )
        if (!isJobId(spec.id)) invalid("uid")
        return spec
    }

    private fun invalid(field: String): Nothing = throw MalformedException("invalid field: $field")

    /** The same fields again: the state service keeps a job in the form it came in. */
    fun encodeSpec(s: JobSpec): Map<String, Any?> = buildMap {
        put("uid", s.id)
        put("queue", s.queue)
        put("owner", s.team)
        put("shape", shapes.entries.first { it.value == s.shape }.key)
        put("rank", ranks.entries.first { it.value == s.rank }.key)
        put("steps", s.tasks)
        put("cores", s.need.cpus)
        put("gpus", s.need.gpus)
        put("memoryGb", s.need.memoryGb)
        s.types?.let { put("flavors", it) }
        s.zone?.let { put("hall", it) }
        put("oneZone", s.oneZone)
        put("spread", s.spread)
        put("standby", s.spotAllowed)
        put("bundle", s.image)
        put("sizeGb", s.imageGb)
        put("expectS", s.estimate.toDouble(DurationUnit.SECONDS))
        put("snapshotS", s.checkpointInterval.toDouble(DurationUnit.SECONDS))
        put("flushS", s.saveTime.toDouble(DurationUnit.SECONDS))
        s.deadlineAfter?.let { put("dueS", it.toDouble(DurationUnit.SECONDS)) }
    }

    /** The answer to a poll. */
    fun encodeStatus(v: JobView): Map<String, Any?> = mapOf(
        "uid" to v.id,
        "status" to when (v.status) {
            JobStatus.DONE -> "done"
            JobStatus.CANCELLED -> "withdrawn"
            JobStatus.LIVE -> if (v.running > 0) "running" else "queued"
        },
        "done" to v.done,
        "running" to v.running,
    )

    /** The answer to a cancellation. */
    fun encodeCancellation(job: JobView): Map<String, Any?> =
        encodeStatus(job).filterKeys { it == "uid" || it == "status" }

    /** The task that a text names; null for any other text. */
    fun parseTaskId(text: String): TaskId? {
        val slash = text.lastIndexOf('/')
        val index = if (slash > 0) text.substring(slash + 1).toIntOrNull() else null
        return index?.takeIf { it >= 0 }?.let { TaskId(text.substring(0, slash), it) }
    }
}
