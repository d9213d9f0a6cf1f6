package topazvale.emulator

import topazvale.model.Order
import topazvale.model.Start
import topazvale.wire.JobWire
import kotlin.time.Duration

/** The answer to a direct command: its status, and the worker's report. */
class DirectAnswer(val status: Int, val report: ByteArray)

/** Orders as workers read them. */
object Orders {
    /** One order of an answer or of a direct command. */
    fun decode(value: Any?): Order {
        val map = value as Map<*, *>
        val start = Start(JobWire.parseTaskId(map["step"] as String)!!, map["try"] as Long)
        return when (map["verb"]) {
            "run" -> Order.Run(start)
            "stop" -> Order.Stop(start, Duration.ZERO)
            else -> Order.Clear(start)
        }
    }
}
