package topazvale.emulator

import topazvale.model.Order
import topazvale.model.Start
import topazvale.wire.JobWire
import kotlin.time.Duration.Companion.seconds

/** The response to a direct command: its HTTP status and the worker's report. */
class DirectCommandResponse(val status: Int, val report: ByteArray)

/** Decodes the orders that workers receive. */
object Orders {
    /** Decodes one order of a report's response or of a direct command. */
    fun decode(value: Any?): Order {
        val map = value as Map<*, *>
        val start = Start(JobWire.parseTaskId(map["step"] as String)!!, map["try"] as Long)
        return when (map["verb"]) {
            "run" -> Order.Run(start)
            "stop" -> Order.Stop(start, (map["drainS"] as Double).seconds)
            else -> Order.Clear(start)
        }
    }
}
