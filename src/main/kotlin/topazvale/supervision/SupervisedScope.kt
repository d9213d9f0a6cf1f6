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
 * A scope in which no loop dies unnoticed: a failure is logged, counted as `loop_failures`, and answered. After a fatal
 * one the process ends.
 */
class SupervisedScope(context: CoroutineContext, private val fatalFailures: FatalFailureHandler) {
    private val log = LoggerFactory.getLogger(SupervisedScope::class.java)
    private val uncaught = CoroutineExceptionHandler { _, cause -> reportFailure("uncaught", cause) }

    /** For what is launched beside any loop: what it throws is logged and counted too. */
    val scope = CoroutineScope(context + SupervisorJob(context[Job]) + uncaught)

    /** A scope that ends with this one, or before. */
    fun child() = SupervisedScope(scope.coroutineContext, fatalFailures)

    /** Ends all that was launched here. */
    fun cancel() = scope.cancel()

    /** Runs a loop for as long as the scope: one that fails, or ends, begins anew after a pause. */
    fun launchForever(name: String, loop: suspend () -> Unit): Job = scope.launch {
        while (true) {
            if (guarded(name, loop)) log.atError().addKeyValue("loop", name).log("loop_ended")
            delay(PAUSE)
        }
    }

    /** Runs work that may end by itself; where it fails [onFailure] is called. */
    fun launchOnce(name: String, onFailure: () -> Unit, work: suspend () -> Unit): Job = scope.launch {
        if (!guarded(name, work)) onFailure()
    }

    /** Something failed; not to be called for cancellations. */
    fun reportFailure(name: String, cause: Throwable) {
        if (cause.isFatal) fatalFailures.fatal(cause)
        Metrics.counter(METRIC, "loop", name).increment()
        log.atError().setCause(cause).addKeyValue("loop", name).log("loop_failed")
    }

    /** Whether the work came to its end. */
    private suspend fun guarded(name: String, work: suspend () -> Unit): Boolean = try {
        work()
        true
    } catch (
        // Also errors: the rest of the program would go on without this loop.
        @Suppress("TooGenericExceptionCaught") e: Throwable,
    ) {
        // Where the scope has ended, the loop ends with it. A cancellation of something else within is a failure.
        currentCoroutineContext().ensureActive()
        reportFailure(name, e)
        false
    }

    private companion object {
        const val METRIC = "loop_failures"

        /** A loop that fails at once each time must not take all of the processor. */
        val PAUSE = 1.seconds
    }
}
