package topazvale.emulator

import topazvale.config.WorkerLimits
import topazvale.model.Clocks
import topazvale.model.JobSpec
import kotlin.time.Duration

/** The cluster around an emulated worker. */
interface WorkerEnvironment {
    val clocks: Clocks
    val limits: WorkerLimits

    /** Checks the protocol's rules; workers report to it what they run. */
    val observer: ProtocolObserver

    /** The gangs on all workers. */
    val gangs: GangEmulator

    /** The names of the controllers, in the order in which workers try them. */
    val members: List<String>

    /** Every controller receives a duplicate of each report after this delay; null: no duplicates. */
    val duplicateReportDelay: Duration?

    /** The controller of that name, or null if it refuses connections. */
    fun controller(member: String): ControllerPort?

    /** All controllers that are reachable now. */
    fun controllers(): List<ControllerPort>

    /** The run time of the task. */
    fun taskTime(spec: JobSpec, index: Int): Duration

    /** The time to fetch the job's image; until then the task is not counted as running. */
    fun fetchTime(spec: JobSpec): Duration

    /** Records what a worker does, for the analysis of a failure. */
    fun recordEvent(host: String, what: String) = Unit
}
