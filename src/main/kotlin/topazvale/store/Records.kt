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
 * Where things stand in the state service.
 *
 * A job lives under [job] until it is over, and under [final] for ever after. The move is one transaction, so that a
 * reader who looks first at the one and then at the other always finds it.
 */
object Keys {
    const val LEADER = "leader"
    const val JOBS = "j/"
    const val GROUPS = "m/"
    const val STARTS = "s/"
    const val CHUNKS = "c/"
    const val TASK_COUNTS = "p/"

    /** A job until it is over. */
    fun job(id: String) = JOBS + id

    /** The final state of a job. */
    fun final(id: String) = "f/$id"

    /** Which tasks of a job are done, a chunk of [CHUNK_TASKS] a key: a large job is never rewritten whole. */
    fun chunk(id: String, chunk: Int) = "$CHUNKS$id/$chunk"

    /** Task counts for polls. */
    fun taskCounts(id: String) = TASK_COUNTS + id

    /** Machines rented together. */
    fun group(name: String) = GROUPS + name

    /** Starts recorded together. */
    fun starts(name: String) = STARTS + name

    const val CHUNK_TASKS = 8192
}

/** Who leads. [life] tells one life of a process from the next. */
data class LeaderRecord(val member: String, val life: String) {
    /** As stored. */
    fun encode(): Map<String, Any?> = mapOf("member" to member, "life" to life)

    companion object {
        fun decode(data: Map<String, Any?>) = LeaderRecord(data["member"] as String, data["life"] as String)
    }
}

/** Jobs and their final states as stored. */
object JobRecords {
    /** As stored, whatever the values are called in the code. */
    private val statusNames = mapOf(
        JobStatus.LIVE to "LIVE",
        JobStatus.DONE to "DONE",
        JobStatus.CANCELLED to "WITHDRAWN",
    )
    private val statuses = statusNames.entries.associate { (status, name) -> name to status }

    /** As stored. */
    fun encode(r: JobRecord): Map<String, Any?> = mapOf(
        "job" to JobWire.encodeSpec(r.spec),
        "at" to r.submitted.toEpochMilliseconds(),
        "status" to statusNames.getValue(r.status),
    )

    /**
     * A cancelled job, of which only what its tasks still take is of use. One that was accepted when values could be
     * larger must not fail to be cancelled for it: what is long is then left out.
     */
    fun encodeCancelled(r: JobRecord, valueBytes: Int): Map<String, Any?> {
        val whole = encode(r.copy(status = JobStatus.CANCELLED))
        if (Records.size(whole) <= valueBytes) return whole
        return encode(
            JobRecord(r.spec.copy(queue = "", image = "", types = null, zone = null), r.submitted, JobStatus.CANCELLED),
        )
    }

    /** As read; throws for what cannot be read. */
    @Suppress("UNCHECKED_CAST")
    fun decode(data: Map<String, Any?>) = JobRecord(
        spec = JobWire.decodeSpec(data["job"] as Map<String, Any?>),
        submitted = Instant.fromEpochMilliseconds(data["at"] as Long),
        status = status(data),
    )

    /** As stored under the final key. */
    fun encodeFinal(status: JobStatus): Map<String, Any?> = mapOf("status" to statusNames.getValue(status))

    /** As read under the final key; throws for what cannot be read. */
    fun decodeFinal(data: Map<String, Any?>) = status(data)

    private fun status(data: Map<String, Any?>): JobStatus =
        requireNotNull(statuses[data["status"]]) { "unknown status of a job" }
}

/** Task counts for display. */
data class TaskCountRecord(val done: Int, val running: Int) {
    /** As stored. */
    fun encode(): Map<String, Any?> = mapOf("done" to done, "running" to running)

    companion object {
        fun decode(data: Map<String, Any?>) =
            TaskCountRecord((data["done"] as Long).toInt(), (data["running"] as Long).toInt())
    }
}

/** Which tasks of a job are done, a bit each. */
object ChunkRecords {
    /** As stored. */
    fun encode(done: BitSet, chunk: Int): Map<String, Any?> {
        val from = chunk * Keys.CHUNK_TASKS
        val bits = done.get(from, from + Keys.CHUNK_TASKS)
        return mapOf("done" to Base64.getEncoder().encodeToString(bits.toByteArray()))
    }

    /** Marks in [done] what the chunk holds. */
    fun decodeInto(data: Map<String, Any?>, chunk: Int, done: BitSet) {
        val bits = BitSet.valueOf(Base64.getDecoder().decode(data["done"] as String))
        bits.stream().forEach { done.set(chunk * Keys.CHUNK_TASKS + it) }
    }
}

/** Starts on one machine that were put on record together: written before their commands leave. */
data class StartRow(val host: String, val session: Long, val job: String, val attempt: Long, val tasks: List<Int>) {
    /** About what the row takes in text form. */
    val estimatedBytes: Int get() = ROW_BYTES + host.length + job.length + tasks.size * TASK_BYTES

    companion object {
        private const val ROW_BYTES = 56
        private const val TASK_BYTES = 7

        /** How many tasks of a job a row on the host may name to stay within [bytes]. */
        fun maxTasks(host: String, job: String, bytes: Int) =
            ((bytes - ROW_BYTES - host.length - job.length) / TASK_BYTES).coerceAtLeast(1)
    }
}

/** The starts of one plan, however many machines they go to, are one value: changes are what there is least of. */
object StartRecords {
    /** As stored. */
    fun encode(rows: List<StartRow>): Map<String, Any?> =
        mapOf("starts" to rows.map { listOf(it.host, it.session, it.job, it.attempt, it.tasks) })

    /** As read; throws for what cannot be read. */
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

/** Machines that were rented together, with what their caches should hold, so that the next leader places as well. */
data class MachineGroupRecord(val market: Market, val rented: Instant, val images: Map<String, List<String>>) {
    /** As stored. */
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

/** What is common to all records. */
object Records {
    private val log = LoggerFactory.getLogger(Records::class.java)

    /** The state service's limits count the text form, in which characters outside plain ASCII may be escaped. */
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
     * What [decode] makes of the record under [key], or null for a record that cannot be read: of a later version, or
     * damaged. It is named in the log and says nothing, neither that something is there nor that it is not.
     */
    fun <T : Any> readOrNull(key: String, data: Map<String, Any?>, decode: (Map<String, Any?>) -> T): T? = try {
        decode(data)
    } catch (e: MalformedException) {
        unreadable(key, e)
    } catch (
        // A record of any other form fails in some cast, number or look-up.
        @Suppress("TooGenericExceptionCaught") e: RuntimeException,
    ) {
        unreadable(key, e)
    }

    private fun unreadable(key: String, cause: Exception): Nothing? {
        log.error("the record {} cannot be read: {}", key, cause.toString())
        return null
    }

    private const val QUOTES_AND_COMMA = 3
    private const val BRACKETS = 2
    private const val SHORT_ESCAPE = 2
    private const val LONG_ESCAPE = 6
}
