package topazvale.store

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.mesh.PeerStatus
import topazvale.model.JobRecord
import topazvale.model.JobSpec
import topazvale.model.JobStatus
import topazvale.model.Market
import topazvale.model.Rank
import topazvale.wire.Cbor
import java.util.BitSet
import kotlin.time.Duration.Companion.seconds

/**
 * The bytes that the version in production stores and sends, in both directions: this version writes the same bytes
 * for the same values, and reads them as those values. No renaming in the code may change them.
 */
class ProductionFormsTest {
    private val gang = Samples.gang.copy(
        need = Samples.gang.need.copy(cpus = 15.0, memoryGb = 50.0),
        types = listOf("plain", "gpu"),
        zone = "a",
        deadlineAfter = 90.seconds,
    )
    private val starts = listOf(
        StartRow("n-1", 3, "job-1", 1L shl 40, listOf(0, 2)),
        StartRow("n-2", 1, "job-2", 7, listOf(1)),
    )
    private val machines = MachineGroupRecord(
        Market("plain", "a", false),
        Samples.now,
        mapOf(
            "n-1" to listOf("img"),
            "n-2" to emptyList(),
        ),
    )
    private val doneTasks = BitSet().apply {
        set(0)
        set(9)
    }

    private fun live(spec: JobSpec) = JobRecord(spec, Samples.now, JobStatus.LIVE)

    @Test
    fun `this version writes the bytes that production writes`() {
        val cases = mapOf(
            "leader" to LeaderRecord("node-0", "beef").encode(),
            "job-array" to JobRecords.encode(live(Samples.array)),
            "job-idle" to JobRecords.encode(live(Samples.array.copy(id = "job-3", rank = Rank.IDLE))),
            "job-gang" to JobRecords.encode(live(gang)),
            "job-service" to JobRecords.encode(live(Samples.service)),
            "job-cancelled" to JobRecords.encodeCancelled(live(Samples.array), valueBytes = 2048),
            "final-done" to JobRecords.encodeFinal(JobStatus.DONE),
            "final-cancelled" to JobRecords.encodeFinal(JobStatus.CANCELLED),
            "counts" to TaskCountRecord(done = 3, running = 2).encode(),
            "done-tasks" to ChunkRecords.encode(doneTasks, chunk = 0),
            "starts" to StartRecords.encode(starts),
            "machines" to machines.encode(),
        )
        for ((name, record) in cases) {
            assertEquals(
                ProductionForms.hex(ProductionForms.bytes(name)),
                ProductionForms.hex(Cbor.encode(record)),
                name,
            )
        }
    }

    @Test
    fun `this version reads what production wrote`() {
        fun stored(name: String) = Cbor.decodeMap(ProductionForms.bytes(name))
        val readDone = BitSet().also { ChunkRecords.decodeInto(stored("done-tasks"), chunk = 0, it) }
        val cases = listOf(
            "leader" to (LeaderRecord("node-0", "beef") to LeaderRecord.decode(stored("leader"))),
            "job-array" to (live(Samples.array) to JobRecords.decode(stored("job-array"))),
            "job-gang" to (live(gang) to JobRecords.decode(stored("job-gang"))),
            "job-service" to (live(Samples.service) to JobRecords.decode(stored("job-service"))),
            "job-cancelled" to (JobStatus.CANCELLED to JobRecords.decode(stored("job-cancelled")).status),
            "final-done" to (JobStatus.DONE to JobRecords.decodeFinal(stored("final-done"))),
            "final-cancelled" to (JobStatus.CANCELLED to JobRecords.decodeFinal(stored("final-cancelled"))),
            "counts" to (TaskCountRecord(done = 3, running = 2) to TaskCountRecord.decode(stored("counts"))),
            "done-tasks" to (doneTasks to readDone),
            "starts" to (starts to StartRecords.decode(stored("starts"))),
            "machines" to (machines to MachineGroupRecord.decode(stored("machines"))),
        )
        for ((name, values) in cases) assertEquals(values.first, values.second, name)
    }

    @Test
    fun `the message between controllers has the fields and numbers that production knows`() {
        val status = PeerStatus(
            member = "node-1",
            stateUnresponsiveMs = 4000,
            token = 1L shl 33,
            cancellationsCompleteMs = 9000,
            cancelledJobs = listOf("job-1", "job-2"),
            highestLedToken = (1L shl 33) + 5,
        )
        val sent = ProductionForms.bytes("peer-status")
        assertEquals(ProductionForms.hex(sent), ProductionForms.hex(status.encode()))
        assertEquals(status, PeerStatus.decode(sent))
        val older = ProductionForms.bytes("peer-status-without-cancellations")
        assertEquals(PeerStatus("node-1", 4000, 7), PeerStatus.decode(older))
    }

    @Test
    fun `the keys are those that production reads`() {
        val keys = listOf(
            Keys.LEADER,
            Keys.job("job-1"),
            Keys.final("job-1"),
            Keys.chunk("job-1", 2),
            Keys.taskCounts("job-1"),
            Keys.group("r-9-1"),
            Keys.starts("9-1"),
        )
        assertEquals(listOf("leader", "j/job-1", "f/job-1", "c/job-1/2", "p/job-1", "m/r-9-1", "s/9-1"), keys)
    }
}
