package topazvale.store

import topazvale.model.JobRecord
import topazvale.model.JobStatus
import topazvale.model.Market
import topazvale.model.Start
import topazvale.model.TaskId
import topazvale.wire.JobWire
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
    const val MACHINES = "m/"
    const val CHUNKS = "c/"
    const val DISPLAYS = "p/"

    fun job(id: String) = JOBS + id

    fun final(id: String) = "f/$id"

    /** Which tasks of a job are done, a chunk of [CHUNK_TASKS] a key: a large job is never rewritten whole. */
    fun chunk(id: String, chunk: Int) = "$CHUNKS$id/$chunk"

    /** Task counts for polls. */
    fun display(id: String) = DISPLAYS + id

    fun machine(host: String) = MACHINES + host

    const val CHUNK_TASKS = 8192
}

/** Who leads. [life] tells one life of a process from the next. */
data class LeaderRecord(val member: String, val life: String) {
    fun encode(): Map<String, Any?> = mapOf("member" to member, "life" to life)

    companion object {
        fun decode(data: Map<String, Any?>) = LeaderRecord(data["member"] as String, data["life"] as String)
    }
}

object JobRecords {
    fun encode(r: JobRecord): Map<String, Any?> =
        mapOf("job" to JobWire.map(r.spec), "at" to r.submitted.toEpochMilliseconds(), "status" to r.status.name)

    @Suppress("UNCHECKED_CAST")
    fun decode(data: Map<String, Any?>) = JobRecord(
        spec = JobWire.spec(data["job"] as Map<String, Any?>),
        submitted = Instant.fromEpochMilliseconds(data["at"] as Long),
        status = JobStatus.valueOf(data["status"] as String),
    )

    fun encodeFinal(status: JobStatus): Map<String, Any?> = mapOf("status" to status.name)

    fun decodeFinal(data: Map<String, Any?>) = JobStatus.valueOf(data["status"] as String)
}

/** Task counts for display. */
data class DisplayRecord(val done: Int, val running: Int) {
    fun encode(): Map<String, Any?> = mapOf("done" to done, "running" to running)

    companion object {
        fun decode(data: Map<String, Any?>) =
            DisplayRecord((data["done"] as Long).toInt(), (data["running"] as Long).toInt())
    }
}

object ChunkRecords {
    fun encode(done: BitSet, chunk: Int): Map<String, Any?> {
        val from = chunk * Keys.CHUNK_TASKS
        val bits = done.get(from, from + Keys.CHUNK_TASKS)
        return mapOf("done" to Base64.getEncoder().encodeToString(bits.toByteArray()))
    }

    fun decodeInto(data: Map<String, Any?>, chunk: Int, done: BitSet) {
        val bits = BitSet.valueOf(Base64.getDecoder().decode(data["done"] as String))
        bits.stream().forEach { done.set(chunk * Keys.CHUNK_TASKS + it) }
    }
}

/** A start that may have been commanded: written before the command leaves. */
data class StartRecord(val start: Start, val session: Long)

data class MachineRecord(
    val market: Market,
    val endpoint: String,
    val rented: Instant,
    val starts: List<StartRecord>,
    /** What its cache should hold, so that the next leader places as well as this one. */
    val images: List<String>,
) {
    fun encode(): Map<String, Any?> = mapOf(
        "type" to market.type, "zone" to market.zone, "spot" to market.spot, "endpoint" to endpoint,
        "rented" to rented.toEpochMilliseconds(),
        "starts" to starts.map { listOf(it.start.task.job, it.start.task.index, it.start.attempt, it.session) },
        "images" to images,
    )

    companion object {
        /** About what one start takes in the record, so that a machine's record stays below the value limit. */
        const val START_BYTES = 64

        /** And all the rest of it, image names included. */
        const val HEAD_BYTES = 1536

        fun decode(data: Map<String, Any?>) = MachineRecord(
            market = Market(data["type"] as String, data["zone"] as String, data["spot"] as Boolean),
            endpoint = data["endpoint"] as String,
            rented = Instant.fromEpochMilliseconds(data["rented"] as Long),
            starts = (data["starts"] as List<*>).map { row ->
                val (job, index, attempt, session) = row as List<*>
                StartRecord(Start(TaskId(job as String, (index as Long).toInt()), attempt as Long), session as Long)
            },
            images = (data["images"] as? List<*>)?.filterIsInstance<String>().orEmpty(),
        )
    }
}
