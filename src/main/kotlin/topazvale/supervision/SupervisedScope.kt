package topazvale.supervision

import io.micrometer.core.instrument.Metrics
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import kotlin.coroutines.CoroutineContext
import kotlin.time.Duration.Companion.seconds

/**
 * A coroutine scope in which no loop fails unnoticed: each failure is logged, counted in the metric `loop_failures` and
 * handled by a restart or a callback. A fatal failure ends the process.
 */
class SupervisedScope(context: CoroutineContext, private val fatalFailures: FatalFailureHandler) {
    private val log = LoggerFactory.getLogger(SupervisedScope::class.java)
    private val uncaughtHandler = CoroutineExceptionHandler { _, cause -> reportFailure("uncaught", cause) }

    /** For coroutines outside of any loop: uncaught exceptions are logged and counted as well. */
    val scope = CoroutineScope(context + SupervisorJob(context[Job]) + uncaughtHandler)

    /** A child scope, cancelled with this one or earlier. */
    fun child() = SupervisedScope(scope.coroutineContext, fatalFailures)

    /** Cancels all coroutines of this scope. */
    fun cancel() = scope.cancel()

    /** Runs a loop until the scope ends. A loop that fails or returns is restarted after a delay. */
    fun launchForever(name: String, loop: suspend () -> Unit): Job = scope.launch {
        while (true) {
            if (runGuarded(name, loop)) log.atError().addKeyValue("loop", name).log("loop_ended")
            delay(RESTART_DELAY)
        }
    }

    /** Runs work that may complete; if it fails, [onFailure] is called. */
    fun launchOnce(name: String, onFailure: () -> Unit, work: suspend () -> Unit): Job = scope.launch {
        if (!runGuarded(name, work)) onFailure()
    }

    /** Logs and counts a failure, and ends the process if it is fatal. Must not be called for cancellations. */
    fun reportFailure(name: String, cause: Throwable) {
        if (cause.isFatal) fatalFailures.onFatalFailure(cause)
        Metrics.counter(METRIC, "loop", name).increment()
        log.atError().setCause(cause).addKeyValue("loop", name).log("loop_failed")
    }

    /** Returns true if the work completed, false if it failed. */
    private suspend fun runGuarded(name: String, work: suspend () -> Unit): Boolean = try {
        work()
        true
    } catch (
        // Errors are caught too: otherwise the rest of the program would go on without this loop.
        @Suppress("TooGenericExceptionCaught") e: Throwable,
    ) {
        // If the scope was cancelled, the loop ends with it. The cancellation of an inner job is a failure.
        currentCoroutineContext().ensureActive()
        reportFailure(name, e)
        false
    }

    private companion object {
        const val METRIC = "loop_failures"

        /** Keeps a loop that fails immediately each time from using all of the processor. */
        val RESTART_DELAY = 1.seconds
    }
}
