package topazvale.emulator

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Faults of a worker's messages. Each kind of message has its own delay in each direction. */
class WorkerFaults {
    /** The worker's reports arrive, but no response and no direct command reaches it. */
    var dropsInbound = false

    /** The worker's reports reach no controller, but direct commands reach it. */
    var dropsReports = false

    /** No direct command reaches the worker, but responses to its reports do. */
    var dropsCommands = false

    /** Whether the worker and the controller of the given name can exchange messages: false is a partition. */
    var canReach: (String) -> Boolean = { true }

    /** The worker abandons its next report, which arrives at the controllers after this delay; null: no fault. */
    var nextReportDelay: Duration? = null

    /** Whether a report delayed by [nextReportDelay] has arrived. */
    var delayedReportArrived = false

    /** Direct commands are left without a response and carried out after this delay; null: no fault. */
    var unansweredCommandDelay: Duration? = null

    /** Supplies the delay after which a copy of an answered direct command arrives; null: no copy. */
    var commandCopyDelay: () -> Duration? = { null }

    /** The transit time of each message: a report, its response, a direct command, its response. */
    var reportDelay: () -> Duration = { DEFAULT_DELAY }
    var reportResponseDelay: () -> Duration = { DEFAULT_DELAY }
    var commandDelay: () -> Duration = { DEFAULT_DELAY }
    var commandResponseDelay: () -> Duration = { DEFAULT_DELAY }

    private companion object {
        val DEFAULT_DELAY = 3.milliseconds
    }
}
