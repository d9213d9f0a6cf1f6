package topazvale.wire

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.model.Order
import topazvale.model.Start
import topazvale.model.TaskId
import topazvale.model.TaskState
import kotlin.time.Duration.Companion.seconds

class WireTest {
    private val good = JobWire.map(Samples.array)

    @Test
    fun `submissions come back as they went`() {
        for (spec in listOf(Samples.array, Samples.gang, Samples.array.copy(types = listOf("gpu"), zone = "a", due = 30.seconds))) {
            assertEquals(spec, JobWire.submission(Cbor.encode(JobWire.map(spec))))
        }
    }

    @Test
    fun `bad submissions are told what is wrong`() {
        val cases = listOf(
            "missing field: uid" to good - "uid",
            "invalid field: uid" to good + ("uid" to "job-1/2"),
            "invalid field: uid" to good + ("uid" to 7),
            "invalid field: shape" to good + ("shape" to "ring"),
            "invalid field: steps" to good + ("steps" to 0),
            "invalid field: steps" to good + ("steps" to 100_001),
            "invalid field: steps" to good + ("steps" to 1.5),
            "invalid field: cores" to good + ("cores" to Double.NaN),
            "invalid field: cores" to good + ("cores" to -1.0),
            "invalid field: gpus" to good + ("gpus" to "one"),
            "invalid field: flavors" to good + ("flavors" to listOf(1)),
            "invalid field: oneZone" to good + ("oneZone" to "yes"),
        )
        for ((message, body) in cases) {
            val e = assertThrows(MalformedException::class.java, { JobWire.submission(Cbor.encode(body)) }, message)
            assertEquals(message, e.message)
        }
    }

    @Test
    fun `what is not one CBOR map is malformed`() {
        val truncated = Cbor.encode(good).let { it.copyOf(it.size - 3) }
        for (bytes in listOf(ByteArray(0), byteArrayOf(-1), Cbor.encode(listOf(1)), Cbor.encode("text"), truncated)) {
            assertThrows(MalformedException::class.java) { JobWire.submission(bytes) }
        }
    }

    @Test
    fun `whole numbers pass for amounts, every float width is read, unknown fields are ignored`() {
        val spec = JobWire.submission(Cbor.encode(good + mapOf("cores" to 5, "steps" to 4.0, "new" to listOf(null))))
        assertEquals(Samples.array, spec)
        // 1.5 in half, single and double precision
        val widths = listOf("f93e00", "fa3fc00000", "fb3ff8000000000000")
        for (hex in widths) {
            val map = Cbor.decodeMap("a16178$hex".chunked(2).map { it.toInt(16).toByte() }.toByteArray())
            assertEquals(1.5, map["x"], hex)
        }
    }

    @Test
    fun `reports are read and orders written in the workers' words`() {
        val body = mapOf(
            "host" to "n-1", "endpoint" to "10.1.0.1:9000", "flavor" to "gpu", "hall" to "a", "standby" to true,
            "shift" to 2, "tick" to 9, "epoch" to 41, "warningS" to null,
            "steps" to listOf(mapOf("step" to "job-1/3", "try" to 5, "status" to "exited", "cause" to "stopped", "stored" to true)),
        )
        val report = WorkerWire.report(Cbor.encode(body))
        assertEquals(Start(TaskId("job-1", 3), 5), report.tasks.single().start)
        assertEquals(TaskState.EXITED, report.tasks.single().state)
        val answer = Cbor.decodeMap(WorkerWire.answer(41, listOf(Order.Stop(Start(TaskId("job-1", 3), 5), 2.seconds))))
        assertEquals(listOf(mapOf("verb" to "stop", "step" to "job-1/3", "try" to 5L, "drainS" to 2.0)), answer["orders"])
    }
}
