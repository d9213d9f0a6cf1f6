package topazvale.store

import java.util.Base64
import java.util.BitSet

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
