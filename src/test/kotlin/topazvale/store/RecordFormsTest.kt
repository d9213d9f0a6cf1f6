package topazvale.store

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.model.JobRecord
import topazvale.model.JobStatus
import topazvale.model.MAX_DURATION
import topazvale.model.Market
import topazvale.model.Shape
import topazvale.wire.Cbor
import topazvale.wire.JobWire
import java.util.BitSet
import kotlin.time.DurationUnit

/**
 * The stored form of each record, as the version in production writes it. Both versions run side by side during an
 * upgrade and must read each other's records: a changed form breaks the upgrade or a rollback.
 */
class RecordFormsTest {
    private val job = mapOf(
        "uid" to "job-1", "queue" to "reports", "owner" to "red", "shape" to "sweep", "rank" to "normal", "steps" to 4L,
        "cores" to 5.0, "gpus" to 1.0, "memoryGb" to 20.0, "oneZone" to false, "spread" to false, "standby" to true,
        "bundle" to "img", "sizeGb" to 1.0, "expectS" to 20.0, "snapshotS" to 10.0, "flushS" to 2.0,
    )

    /** Encodes and decodes a record, as a round trip through the state service does. */
    private fun stored(record: Map<String, Any?>) = Cbor.decodeMap(Cbor.encode(record))

    @Test
    fun `each record has the form that production reads and writes`() {
        val at = Samples.now.toEpochMilliseconds()
        val group = MachineGroupRecord(
            Market("plain", "a", false),
            Samples.now,
            mapOf(
                "n-1" to listOf("img"),
                "n-2" to emptyList(),
            ),
        )
        val starts =
            listOf(StartRow("n-1", 3, "job-1", 1L shl 40, listOf(0, 2)), StartRow("n-2", 1, "job-2", 7, listOf(1)))
        val forms = listOf(
            LeaderRecord("node-0", "beef").encode() to mapOf("member" to "node-0", "life" to "beef"),
            JobRecords.encode(JobRecord(Samples.array, Samples.now, JobStatus.LIVE)) to
                mapOf("job" to job, "at" to at, "status" to "LIVE"),
            JobRecords.encodeCancelled(JobRecord(Samples.array, Samples.now, JobStatus.LIVE), 2048) to
                mapOf("job" to job, "at" to at, "status" to "WITHDRAWN"),
            JobRecords.encodeFinal(JobStatus.DONE) to mapOf("status" to "DONE"),
            TaskCountRecord(3, 2).encode() to mapOf("done" to 3L, "running" to 2L),
            ChunkRecords.encode(
                BitSet().apply {
                    set(0)
                    set(9)
                },
                0,
            ) to mapOf("done" to "AQI="),
            StartRecords.encode(starts) to
                mapOf(
                    "starts" to
                        listOf(
                            listOf("n-1", 3L, "job-1", 1L shl 40, listOf(0L, 2L)),
                            listOf("n-2", 1L, "job-2", 7L, listOf(1L)),
                        ),
                ),
            group.encode() to mapOf(
                "type" to "plain",
                "zone" to "a",
                "spot" to false,
                "rented" to at,
                "hosts" to mapOf("n-1" to listOf("img"), "n-2" to emptyList<String>()),
            ),
        )
        for ((record, form) in forms) assertEquals(form, stored(record))
        assertEquals(starts, StartRecords.decode(stored(StartRecords.encode(starts))))
        assertEquals(group, MachineGroupRecord.decode(stored(group.encode())))
    }

    @Test
    fun `a service is stored like any other job, and fields of a later version are ignored`() {
        val form = stored(JobWire.encodeSpec(Samples.service))
        assertEquals("service" to 0.0, form["shape"] to form["expectS"])
        val record = mapOf("job" to form + ("later" to 1), "at" to 5L, "status" to "LIVE", "later" to mapOf("x" to 1))
        assertEquals(Shape.SERVICE, JobRecords.decode(stored(record)).spec.shape)
        assertEquals(
            LeaderRecord("node-0", "beef"),
            LeaderRecord.decode(
                mapOf(
                    "member" to "node-0",
                    "life" to "beef",
                    "later" to 1L,
                ),
            ),
        )
    }

    /** Guards against accepted jobs that stay unreadable because an earlier version stored a duration as infinite. */
    @Test
    fun `a record with infinite durations is read with the longest ones`() {
        for (field in listOf("expectS", "snapshotS", "flushS", "dueS")) {
            val stored =
                stored(mapOf("job" to job + (field to Double.POSITIVE_INFINITY), "at" to 5L, "status" to "LIVE"))
            val record = JobRecords.decode(stored)
            assertEquals(MAX_DURATION.toDouble(DurationUnit.SECONDS), JobWire.encodeSpec(record.spec)[field], field)
        }
    }

    @Test
    fun `production reads a cancelled job whose long fields were omitted`() {
        val long = Samples.array.copy(types = List(400) { "type-$it" })
        val decoded = JobRecords.decode(
            stored(JobRecords.encodeCancelled(JobRecord(long, Samples.now, JobStatus.LIVE), 2048)),
        )
        assertEquals(long.copy(types = null, queue = "", image = ""), decoded.spec)
        assertEquals(JobStatus.CANCELLED, decoded.status)
    }
}
