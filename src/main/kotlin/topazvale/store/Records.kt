package topazvale.store

import org.slf4j.LoggerFactory
import topazvale.model.JobRecord
import topazvale.model.JobStatus
import topazvale.model.Market
import topazvale.wire.JobWire
import topazvale.wire.MalformedException
import java.util.Base64
import java.util.BitSet
import kotlin.time.Instant

/**
 * The keys of the records in the state service.
 *
 * A job is stored under [job] until it has finished, and under [final] from then on. One transaction moves it, so that
 * a reader which looks first under [job] and then under [final] always finds it.
 */
object Keys {
    const val LEADER = "leader"
    const val JOBS = "j/"
    const val GROUPS = "m/"
    const val STARTS = "s/"
    const val CHUNKS = "c/"
    const val TASK_COUNTS = "p/"

    /** The key of a job that has not finished. */
    fun job(id: String) = JOBS + id

    /** The key of the final state of a finished job. */
    fun final(id: String) = "f/$id"

    /** The key that holds which of [CHUNK_TASKS] tasks are done. Chunks avoid rewriting a large job as a whole. */
    fun chunk(id: String, chunk: Int) = "$CHUNKS$id/$chunk"

    /** The key of the task counts that polls return. */
    fun taskCounts(id: String) = TASK_COUNTS + id

    /** The key of a group of machines that were rented together. */
    fun group(name: String) = GROUPS + name

    /** The key of a batch of starts that were recorded together. */
    fun starts(name: String) = STARTS + name

    const val CHUNK_TASKS = 8192
}

/** The current leader. The [incarnation] distinguishes a process from the next process of the same member. */
data class LeaderRecord(val member: String, val incarnation: String) {
    /** Encodes the record as it is stored. */
    fun encode(): Map<String, Any?> = mapOf("member" to member, "life" to incarnation)

    companion object {
        fun decode(data: Map<String, Any?>) = LeaderRecord(data["member"] as String, data["life"] as String)
    }
}

/** The stored form of jobs and of their final states. */
object JobRecords {
    /** The stored names of the statuses, which are independent of the names in the code. */
    private val statusNames = mapOf(
        JobStatus.LIVE to "LIVE",
        JobStatus.DONE to "DONE",
        JobStatus.CANCELLED to "WITHDRAWN",
    )
    private val statuses = statusNames.entries.associate { (status, name) -> name to status }

    /** Encodes a job as it is stored. */
    fun encode(record: JobRecord): Map<String, Any?> = mapOf(
        "job" to JobWire.encodeSpec(record.spec),
        "at" to record.submitted.toEpochMilliseconds(),
        "status" to statusNames.getValue(record.status),
    )

    /**
     * Encodes a job as cancelled. Only the resources that its tasks still occupy matter from then on. A job that was
     * accepted when the limit on values was higher must remain cancellable, so its long fields are omitted if the
     * record exceeds [valueBytes].
     */
    fun encodeCancelled(record: JobRecord, valueBytes: Int): Map<String, Any?> {
        val complete = encode(record.copy(status = JobStatus.CANCELLED))
        if (Records.size(complete) <= valueBytes) return complete
        return encode(
            JobRecord(
                record.spec.copy(queue = "", image = "", types = null, zone = null),
                record.submitted,
                JobStatus.CANCELLED,
            ),
        )
    }

    /** Decodes a stored job; throws for data of any other form. */
    @Suppress("UNCHECKED_CAST")
    fun decode(data: Map<String, Any?>) = JobRecord(
        spec = JobWire.decodeStoredSpec(data["job"] as Map<String, Any?>),
        submitted = Instant.fromEpochMilliseconds(data["at"] as Long),
        status = status(data),
    )

    /** Encodes a final state as it is stored. */
    fun encodeFinal(status: JobStatus): Map<String, Any?> = mapOf("status" to statusNames.getValue(status))

    /** Decodes a stored final state; throws for data of any other form. */
    fun decodeFinal(data: Map<String, Any?>) = status(data)

    private fun status(data: Map<String, Any?>): JobStatus =
        requireNotNull(statuses[data["status"]]) { "unknown job status" }
}

/** Task counts of a job, for display only. */
data class TaskCountRecord(val done: Int, val running: Int) {
    /** Encodes the record as it is stored. */
    fun encode(): Map<String, Any?> = mapOf("done" to done, "running" to running)

    companion object {
        fun decode(data: Map<String, Any?>) =
            TaskCountRecord((data["done"] as Long).toInt(), (data["running"] as Long).toInt())
    }
}

/** Which tasks of a job are done, one bit per task. */
object ChunkRecords {
    /** Encodes one chunk of [done] as it is stored. */
    fun encode(done: BitSet, chunk: Int): Map<String, Any?> {
        val firstTask = chunk * Keys.CHUNK_TASKS
        val bits = done.get(firstTask, firstTask + Keys.CHUNK_TASKS)
        return mapOf("done" to Base64.getEncoder().encodeToString(bits.toByteArray()))
    }

    /** Sets in [done] the bits of the tasks that the stored chunk marks as done. */
    fun decodeInto(data: Map<String, Any?>, chunk: Int, done: BitSet) {
        val bits = BitSet.valueOf(Base64.getDecoder().decode(data["done"] as String))
        bits.stream().forEach { done.set(chunk * Keys.CHUNK_TASKS + it) }
    }
}

/** Starts on one machine that were recorded together, before their commands were sent. */
data class StartRow(val host: String, val session: Long, val job: String, val attempt: Long, val tasks: List<Int>) {
    /** The approximate size of the row in text form. */
    val estimatedBytes: Int get() = ROW_BYTES + host.length + job.length + tasks.size * TASK_BYTES

    companion object {
        private const val ROW_BYTES = 56
        private const val TASK_BYTES = 7

        /** The number of tasks of a job that a row for the host may name within [bytes]; at least one. */
        fun maxTasks(host: String, job: String, bytes: Int) =
            ((bytes - ROW_BYTES - host.length - job.length) / TASK_BYTES).coerceAtLeast(1)
    }
}

/**
 * The starts of one plan are stored as one value, however many machines they go to, because the rate limit on changes
 * is the scarcest resource.
 */
object StartRecords {
    /** Encodes starts as they are stored. */
    fun encode(rows: List<StartRow>): Map<String, Any?> =
        mapOf("starts" to rows.map { listOf(it.host, it.session, it.job, it.attempt, it.tasks) })

    /** Decodes stored starts; throws for data of any other form. */
    fun decode(data: Map<String, Any?>): List<StartRow> = (data["starts"] as List<*>).map { row ->
        val fields = (row as List<*>).iterator()
        StartRow(
            host = fields.next() as String,
            session = fields.next() as Long,
            job = fields.next() as String,
            attempt = fields.next() as Long,
            tasks = (fields.next() as List<*>).map { (it as Long).toInt() },
        )
    }
}

/**
 * Machines that were rented together, with the images that their caches should hold, so that the next leader places
 * tasks equally well.
 */
data class MachineGroupRecord(val market: Market, val rented: Instant, val images: Map<String, List<String>>) {
    /** Encodes the record as it is stored. */
    fun encode(): Map<String, Any?> = mapOf(
        "type" to market.type,
        "zone" to market.zone,
        "spot" to market.spot,
        "rented" to rented.toEpochMilliseconds(),
        "hosts" to images,
    )

    companion object {
        fun decode(data: Map<String, Any?>) = MachineGroupRecord(
            market = Market(data["type"] as String, data["zone"] as String, data["spot"] as Boolean),
            rented = Instant.fromEpochMilliseconds(data["rented"] as Long),
            images = (data["hosts"] as Map<*, *>).entries.associate { (host, images) ->
                host as String to (images as List<*>).filterIsInstance<String>()
            },
        )
    }
}

/** Functions for records of all kinds. */
object Records {
    private val log = LoggerFactory.getLogger(Records::class.java)

    /**
     * The size of a value in text form, which the limits of the state service refer to. Characters outside printable
     * ASCII are counted as escaped, because that form may escape them.
     */
    fun size(value: Any?): Int = when (value) {
        is String -> value.sumOf(::size) + QUOTES_AND_COMMA
        is Map<*, *> -> value.entries.sumOf { (key, field) -> size(key) + 1 + size(field) } + BRACKETS
        is List<*> -> value.sumOf { size(it) + 1 } + BRACKETS
        else -> value.toString().length
    }

    private fun size(char: Char): Int = when (char) {
        '"', '\\' -> SHORT_ESCAPE
        in ' '..'~' -> 1
        else -> LONG_ESCAPE
    }

    /**
     * Decodes the record under [key] with [decode]. Returns null for a record that a later version has written or that
     * is damaged, and logs its key. Such a record is no evidence that what it describes exists, nor that it does not
     * exist.
     */
    fun <T : Any> readOrNull(key: String, data: Map<String, Any?>, decode: (Map<String, Any?>) -> T): T? = try {
        decode(data)
    } catch (e: MalformedException) {
        logUnreadable(key, e)
    } catch (
        // Data of any other form fails in a cast, a conversion of a number or a look-up.
        @Suppress("TooGenericExceptionCaught") e: RuntimeException,
    ) {
        logUnreadable(key, e)
    }

    private fun logUnreadable(key: String, cause: Exception): Nothing? {
        log.error("the record {} cannot be read: {}", key, cause.toString())
        return null
    }

    private const val QUOTES_AND_COMMA = 3
    private const val BRACKETS = 2
    private const val SHORT_ESCAPE = 2
    private const val LONG_ESCAPE = 6
}
