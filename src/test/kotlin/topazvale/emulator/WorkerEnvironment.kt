package topazvale.emulator

import topazvale.config.WorkerLimits
import topazvale.model.Clocks
import topazvale.model.JobSpec
import kotlin.time.Duration

/** What a worker needs of the world around it. */
interface WorkerEnvironment {
    val clocks: Clocks
    val limits: WorkerLimits

    /** What judges the rules; workers tell it what they run. */
    val observer: ProtocolObserver

    /** The names of the controllers, in the order in which workers try them. */
    val members: List<String>

    /** Each report's copy arrives at every controller so much later; null: there are no copies. */
    val duplicateReportDelay: Duration?

    /** The controller of that name; null: it refuses connections. */
    fun controller(member: String): ControllerPort?

    /** All controllers that can be reached now. */
    fun controllers(): List<ControllerPort>

    /** How long the task runs. */
    fun taskTime(spec: JobSpec, index: Int): Duration

    /** How long its image is on its way; until then a task counts nowhere. */
    fun fetchTime(spec: JobSpec): Duration

    /** Takes note of what a worker does; for those who look for the cause of a failure. */
    fun recordEvent(host: String, what: String) = Unit
}
