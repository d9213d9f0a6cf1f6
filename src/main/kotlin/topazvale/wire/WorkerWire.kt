package topazvale.wire

import topazvale.model.DirectCommand
import topazvale.model.ExitCause
import topazvale.model.Market
import topazvale.model.Order
import topazvale.model.Report
import topazvale.model.ReportResponse
import topazvale.model.ReportedTask
import topazvale.model.Start
import topazvale.model.TaskState
import kotlin.time.DurationUnit

/** Bodies that are exchanged with workers: reports and commands. */
object WorkerWire {
    private const val MAX_PORT = 65535
    private val states = mapOf(
        "pulling" to TaskState.FETCHING,
        "waiting" to TaskState.WAITING,
        "running" to TaskState.RUNNING,
        "saving" to TaskState.SAVING,
        "exited" to TaskState.EXITED,
    )
    private val causes = mapOf(
        "done" to ExitCause.DONE,
        "stopped" to ExitCause.STOPPED,
        "mates_gone" to ExitCause.MATES_GONE,
        "incomplete" to ExitCause.INCOMPLETE,
        "error" to ExitCause.ERROR,
        "no_room" to ExitCause.NO_ROOM,
        "busy" to ExitCause.BUSY,
        "no_such" to ExitCause.NO_SUCH,
    )

    /** Decodes a worker's report; throws [MalformedException] for an invalid one. */
    fun decodeReport(body: ByteArray): Report {
        val fields = Fields(Cbor.decodeMap(body))
        return Report(
            host = fields.string("host"),
            endpoint = fields.string("endpoint").also {
                if (!isEndpoint(it)) throw MalformedException("invalid field: endpoint")
            },
            market = Market(fields.string("flavor"), fields.string("hall"), fields.boolean("standby")),
            session = fields.nonNegativeInteger("shift"),
            sequence = fields.nonNegativeInteger("tick"),
            token = fields.nonNegativeIntegerOr("epoch", 0),
            interruptionNotice = fields.durationOrNull("warningS"),
            tasks = fields.maps("steps").map(::reportedTask),
        )
    }

    private fun isEndpoint(text: String) =
        text.substringBeforeLast(':', "").isNotEmpty() && text.substringAfterLast(':').toIntOrNull() in 1..MAX_PORT

    private fun reportedTask(fields: Fields): ReportedTask {
        val id = JobWire.parseTaskId(fields.string("step")) ?: throw MalformedException("invalid field: step")
        return ReportedTask(
            start = Start(id, fields.nonNegativeInteger("try")),
            state = states[fields.string("status")] ?: throw MalformedException("invalid field: status"),
            cause = fields.stringOrNull("cause")?.let { causes[it] ?: ExitCause.ERROR },
            saved = fields.booleanOr("stored", false),
        )
    }

    /** Encodes the response to a report. */
    fun encodeReportResponse(response: ReportResponse): ByteArray =
        Cbor.encode(mapOf("epoch" to response.token, "orders" to response.orders.map(::encodeOrder)))

    /** Encodes a direct command to a worker. */
    fun encodeCommand(command: DirectCommand): ByteArray = Cbor.encode(
        mapOf(
            "epoch" to command.token,
            "shift" to command.session,
            "orders" to command.orders.map(::encodeOrder),
        ),
    )

    /** Encodes the response to a worker that contacted a node which does not lead. */
    fun encodeRedirect(leader: String?): ByteArray =
        Cbor.encode(if (leader == null) emptyMap() else mapOf("supervisor" to leader))

    private fun encodeOrder(order: Order): Map<String, Any?> = when (order) {
        is Order.Run -> startFields("run", order.start)

        is Order.Stop -> startFields("stop", order.start) +
            ("drainS" to order.gracePeriod.toDouble(DurationUnit.SECONDS))

        is Order.Clear -> startFields("clear", order.start)
    }

    private fun startFields(verb: String, start: Start) =
        mapOf<String, Any?>("verb" to verb, "step" to start.task.toString(), "try" to start.attempt)
}
