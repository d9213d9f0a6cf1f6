package topazvale.wire

import topazvale.model.ExitCause
import topazvale.model.Market
import topazvale.model.Order
import topazvale.model.Report
import topazvale.model.ReportedTask
import topazvale.model.Start
import topazvale.model.TaskState
import kotlin.time.DurationUnit

/** What workers say and are told. */
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

    /** A report as workers send it; throws for a malformed one. */
    fun decodeReport(body: ByteArray): Report {
        val f = Fields(Cbor.decodeMap(body))
        return Report(
            host = f.text("host"),
            endpoint = f.text("endpoint").also {
                if (!isEndpoint(it)) throw MalformedException("invalid field: endpoint")
            },
            market = Market(f.text("flavor"), f.text("hall"), f.flag("standby")),
            session = f.count("shift"),
            sequence = f.count("tick"),
            token = f.countOr("epoch", 0),
            interruptionNotice = f.spanOrNull("warningS"),
            tasks = f.maps("steps").map(::task),
        )
    }

    private fun isEndpoint(text: String) =
        text.substringBeforeLast(':', "").isNotEmpty() && text.substringAfterLast(':').toIntOrNull() in 1..MAX_PORT

    private fun task(f: Fields): ReportedTask {
        val id = JobWire.parseTaskId(f.text("step")) ?: throw MalformedException("invalid field: step")
        return ReportedTask(
            start = Start(id, f.count("try")),
            state = states[f.text("status")] ?: throw MalformedException("invalid field: status"),
            cause = f.textOrNull("cause")?.let { causes[it] ?: ExitCause.ERROR },
            saved = f.flagOr("stored", false),
        )
    }

    /** The answer to a report. */
    fun encodeReportResponse(token: Long, orders: List<Order>): ByteArray =
        Cbor.encode(mapOf("epoch" to token, "orders" to orders.map(::order)))

    /** Direct commands. */
    fun encodeCommands(token: Long, session: Long, orders: List<Order>): ByteArray =
        Cbor.encode(mapOf("epoch" to token, "shift" to session, "orders" to orders.map(::order)))

    /** For a worker that came to the wrong node. */
    fun encodeRedirect(leader: String?): ByteArray =
        Cbor.encode(if (leader == null) emptyMap() else mapOf("supervisor" to leader))

    private fun order(o: Order): Map<String, Any?> = when (o) {
        is Order.Run -> step("run", o.start)
        is Order.Stop -> step("stop", o.start) + ("drainS" to o.gracePeriod.toDouble(DurationUnit.SECONDS))
        is Order.Clear -> step("clear", o.start)
    }

    private fun step(verb: String, s: Start) =
        mapOf<String, Any?>("verb" to verb, "step" to s.task.toString(), "try" to s.attempt)
}
