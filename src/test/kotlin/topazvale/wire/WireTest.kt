package topazvale.wire

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.model.MAX_DURATION
import topazvale.model.Order
import topazvale.model.ReportResponse
import topazvale.model.Start
import topazvale.model.TaskId
import topazvale.model.TaskState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

class WireTest {
    private val validFields = JobWire.encodeSpec(Samples.array)

    @Test
    fun `a submission is the same after encoding and decoding`() {
        for (spec in listOf(
            Samples.array,
            Samples.gang,
            Samples.array.copy(types = listOf("gpu"), zone = "a", deadlineAfter = 30.seconds),
        )) {
            assertEquals(spec, JobWire.decodeSubmission(Cbor.encode(JobWire.encodeSpec(spec))))
        }
    }

    /** Guards against an accepted job whose record cannot be read: its durations were stored as infinite numbers. */
    @Test
    fun `a submission with border values is the same after encoding and decoding`() {
        val borders = listOf(
            0.0 to Duration.ZERO,
            Double.MIN_VALUE to 1.nanoseconds,
            0.25 to 250.milliseconds,
            4.6e15 to MAX_DURATION,
            4.7e15 to MAX_DURATION,
            Long.MAX_VALUE / 1000.0 to MAX_DURATION,
            Double.MAX_VALUE to MAX_DURATION,
            Long.MAX_VALUE to MAX_DURATION,
        )
        for (field in listOf("expectS", "snapshotS", "flushS", "dueS", "sizeGb", "memoryGb", "cores", "gpus")) {
            for ((value, expected) in borders) {
                val spec = JobWire.decodeSubmission(Cbor.encode(validFields + (field to value)))
                val name = "$field = $value"
                assertEquals(spec, JobWire.decodeSubmission(Cbor.encode(JobWire.encodeSpec(spec))), name)
                if (field == "dueS") assertEquals(expected, spec.deadlineAfter, name)
                if (field == "flushS") assertEquals(expected, spec.saveTime, name)
            }
        }
    }

    /** Guards against a count that is accepted and read as another one, as an integer of 2^63 was. */
    @Test
    fun `an integer that does not fit into 64 signed bits is malformed`() {
        val cases = mapOf(
            "1b7fffffffffffffff" to Long.MAX_VALUE,
            "1b8000000000000000" to null,
            "1bffffffffffffffff" to null,
            "3b7fffffffffffffff" to Long.MIN_VALUE,
            "3b8000000000000000" to null,
        )
        for ((hex, expected) in cases) {
            val body = Cbor.decodeMap("a16178$hex".chunked(2).map { it.toInt(16).toByte() }.toByteArray())
            if (expected == null) {
                assertThrows(MalformedException::class.java, { Fields(body).integer("x") }, hex)
            } else {
                assertEquals(expected, Fields(body).integer("x"), hex)
            }
        }
    }

    @Test
    fun `the error for an invalid submission names the fault`() {
        val cases = listOf(
            "missing field: uid" to validFields - "uid",
            "invalid field: uid" to validFields + ("uid" to "job-1/2"),
            "invalid field: uid" to validFields + ("uid" to 7),
            "invalid field: shape" to validFields + ("shape" to "ring"),
            "invalid field: steps" to validFields + ("steps" to 0),
            "invalid field: steps" to validFields + ("steps" to 100_001),
            "invalid field: steps" to validFields + ("steps" to 1.5),
            "invalid field: cores" to validFields + ("cores" to Double.NaN),
            "invalid field: cores" to validFields + ("cores" to -1.0),
            "invalid field: gpus" to validFields + ("gpus" to "one"),
            "invalid field: flavors" to validFields + ("flavors" to listOf(1)),
            "invalid field: oneZone" to validFields + ("oneZone" to "yes"),
        )
        for ((message, body) in cases) {
            val e =
                assertThrows(MalformedException::class.java, { JobWire.decodeSubmission(Cbor.encode(body)) }, message)
            assertEquals(message, e.message)
        }
    }

    @Test
    fun `the error names a field that is missing or has the wrong type`() {
        val optional = setOf("flavors", "hall", "dueS")
        assertEquals(20, validFields.keys.plus(optional).size)
        for (field in validFields.keys - optional) {
            for (value in listOf(null, listOf(1), mapOf("a" to 1))) {
                val e =
                    assertThrows(MalformedException::class.java, {
                        JobWire.decodeSubmission(Cbor.encode(validFields + (field to value)))
                    }, field)
                assertEquals(if (value == null) "missing field: $field" else "invalid field: $field", e.message)
            }
        }
        for (field in listOf("cores", "gpus", "memoryGb", "sizeGb", "expectS", "snapshotS", "flushS", "dueS")) {
            for (value in listOf(-0.5, Double.NaN, Double.POSITIVE_INFINITY, "1", true)) {
                val e =
                    assertThrows(MalformedException::class.java, {
                        JobWire.decodeSubmission(Cbor.encode(validFields + (field to value)))
                    }, field)
                assertEquals("invalid field: $field", e.message)
            }
        }
        for ((field, value) in listOf("flavors" to "gpu", "hall" to 1, "hall" to listOf("a"))) {
            assertThrows(MalformedException::class.java, {
                JobWire.decodeSubmission(Cbor.encode(validFields + (field to value)))
            }, field)
        }
    }

    @Test
    fun `an invalid report is malformed`() {
        val task = mapOf("step" to "job-1/3", "try" to 5, "status" to "running")
        val validReport = mapOf(
            "host" to "n-1", "endpoint" to "10.1.0.1:9000", "flavor" to "gpu", "hall" to "a", "standby" to true,
            "shift" to 2, "tick" to 9, "epoch" to 41, "steps" to listOf(task),
        )
        WorkerWire.decodeReport(Cbor.encode(validReport))
        val invalidReports = listOf(
            validReport + ("endpoint" to "nowhere"), validReport + ("endpoint" to "10.1.0.1:port"),
            validReport + ("endpoint" to "10.1.0.1:70000"),
            validReport + ("shift" to -1), validReport + ("tick" to "9"),
            validReport + ("epoch" to -2), validReport + ("steps" to task),
            validReport + ("steps" to listOf(task + ("step" to "job-1"))),
            validReport + ("steps" to listOf(task + ("step" to "job-1/-3"))),
            validReport + ("steps" to listOf(task + ("status" to "asleep"))),
            validReport + ("steps" to listOf(task - "try")),
            validReport - "host",
            validReport + ("warningS" to -1.0),
        )
        for (body in invalidReports) {
            assertThrows(MalformedException::class.java, {
                WorkerWire.decodeReport(Cbor.encode(body))
            }, "$body")
        }
    }

    @Test
    fun `one of the state service's responses with status 400 means that the lease has ended`() {
        assertEquals(true, StateWire.isLeaseGone(Cbor.encode(mapOf("error" to "no such lease"))))
        for (body in listOf(
            mapOf("error" to "value too large"),
            emptyMap(),
        )) {
            assertEquals(false, StateWire.isLeaseGone(Cbor.encode(body)))
        }
    }

    @Test
    fun `a body other than a single CBOR map is malformed`() {
        val truncated = Cbor.encode(validFields).let { it.copyOf(it.size - 3) }
        for (bytes in listOf(ByteArray(0), byteArrayOf(-1), Cbor.encode(listOf(1)), Cbor.encode("text"), truncated)) {
            assertThrows(MalformedException::class.java) { JobWire.decodeSubmission(bytes) }
        }
    }

    @Test
    fun `integers are accepted as numbers, every float width is decoded, unknown fields are ignored`() {
        val spec = JobWire.decodeSubmission(
            Cbor.encode(validFields + mapOf("cores" to 5, "steps" to 4.0, "new" to listOf(null))),
        )
        assertEquals(Samples.array, spec)
        // 1.5 in half, single and double precision
        val widths = listOf("f93e00", "fa3fc00000", "fb3ff8000000000000")
        for (hex in widths) {
            val map = Cbor.decodeMap("a16178$hex".chunked(2).map { it.toInt(16).toByte() }.toByteArray())
            assertEquals(1.5, map["x"], hex)
        }
    }

    @Test
    fun `reports and orders have the field names and values of the workers' protocol`() {
        val body = mapOf(
            "host" to "n-1", "endpoint" to "10.1.0.1:9000", "flavor" to "gpu", "hall" to "a", "standby" to true,
            "shift" to 2, "tick" to 9, "epoch" to 41, "warningS" to null,
            "steps" to
                listOf(
                    mapOf(
                        "step" to "job-1/3",
                        "try" to 5,
                        "status" to "exited",
                        "cause" to "stopped",
                        "stored" to true,
                    ),
                ),
        )
        val report = WorkerWire.decodeReport(Cbor.encode(body))
        assertEquals(Start(TaskId("job-1", 3), 5), report.tasks.single().start)
        assertEquals(TaskState.EXITED, report.tasks.single().state)
        val response = Cbor.decodeMap(
            WorkerWire.encodeReportResponse(
                ReportResponse(41, listOf(Order.Stop(Start(TaskId("job-1", 3), 5), 2.seconds))),
            ),
        )
        assertEquals(
            listOf(mapOf("verb" to "stop", "step" to "job-1/3", "try" to 5L, "drainS" to 2.0)),
            response["orders"],
        )
    }
}
