package topazvale.store

import topazvale.model.JobRecord
import topazvale.model.JobStatus
import topazvale.wire.JobWire
import kotlin.time.Instant

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
