package topazvale.supervision

import org.slf4j.LoggerFactory

/** Told of a failure after which this process cannot be trusted any more. */
fun interface FatalFailureHandler {
    /** Ends the process, so that whoever supervises it starts it afresh. */
    fun fatal(cause: Throwable)
}

/** Ends the process at once with [EXIT_STATUS]: nothing is cleaned up, as that might hang or fail as well. */
object ExitOnFatalFailure : FatalFailureHandler {
    /** `EX_SOFTWARE` of sysexits.h. */
    const val EXIT_STATUS = 70
    private val log = LoggerFactory.getLogger(ExitOnFatalFailure::class.java)

    override fun fatal(cause: Throwable) {
        try {
            log.error("the process cannot go on", cause)
        } finally {
            Runtime.getRuntime().halt(EXIT_STATUS)
        }
    }
}

/**
 * Whether the process cannot be trusted after it: memory has run out, or part of the program is missing. Whatever ran
 * at that moment may have been left half done, in this loop or in any other.
 */
val Throwable.isFatal: Boolean get() = this is VirtualMachineError || this is LinkageError
