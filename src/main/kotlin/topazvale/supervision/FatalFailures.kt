package topazvale.supervision

import org.slf4j.LoggerFactory

/** Handles a failure after which the process is no longer reliable. */
fun interface FatalFailureHandler {
    /** Ends the process, so that its supervisor restarts it. */
    fun onFatalFailure(cause: Throwable)
}

/** Halts the process immediately with [EXIT_STATUS], without cleanup, which might hang or fail as well. */
object ExitOnFatalFailure : FatalFailureHandler {
    /** `EX_SOFTWARE` of sysexits.h. */
    const val EXIT_STATUS = 70
    private val log = LoggerFactory.getLogger(ExitOnFatalFailure::class.java)

    override fun onFatalFailure(cause: Throwable) {
        try {
            log.error("the process cannot go on", cause)
        } finally {
            Runtime.getRuntime().halt(EXIT_STATUS)
        }
    }
}

/**
 * Whether the process is unreliable after this failure: memory has run out, or a part of the program is missing. Any
 * operation that was running, in this loop or another one, may have been left incomplete.
 */
val Throwable.isFatal: Boolean get() = this is VirtualMachineError || this is LinkageError
