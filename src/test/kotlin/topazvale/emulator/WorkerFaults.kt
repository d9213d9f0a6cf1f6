package topazvale.emulator

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What can go wrong with a worker's messages; each way of each kind of message has a delay of its own. */
class WorkerFaults {
    /** Its reports arrive, and nothing reaches it. */
    var dropsInbound = false

    /** It reaches no controller, while direct commands reach it. */
    var dropsReports = false

    /** Which controllers it can be in touch with. */
    var canReach: (String) -> Boolean = { true }

    /** The next report is given up by the worker and arrives only so much later. */
    var nextReportDelay: Duration? = null

    /** A report that was held has arrived. */
    var delayedReportArrived = false

    /** Direct commands get no answer and are carried out so much later. */
    var unansweredCommandDelay: Duration? = null

    /** How long a message is on its way: a report, its answer, a direct command, its answer. */
    var reportDelay: () -> Duration = { USUAL_DELAY }
    var reportResponseDelay: () -> Duration = { USUAL_DELAY }
    var commandDelay: () -> Duration = { USUAL_DELAY }
    var commandResponseDelay: () -> Duration = { USUAL_DELAY }

    private companion object {
        val USUAL_DELAY = 3.milliseconds
    }
}
