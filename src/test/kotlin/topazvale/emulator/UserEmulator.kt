package topazvale.emulator

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import topazvale.api.ApiResponse
import topazvale.model.Clocks
import topazvale.model.JobSpec
import topazvale.net.HttpStatus
import topazvale.wire.Cbor
import topazvale.wire.JobWire
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Emulates the users of the protocol. They repeat a request until they receive a conclusive response, and pass each
 * response to the observer.
 */
class UserEmulator(
    private val observer: ProtocolObserver,
    private val clocks: Clocks,
    private val scope: CoroutineScope,
    private val anyController: suspend () -> ControllerPort,
) {
    /** Supplies the delay after which a copy of an answered request reaches any controller; null: no copy. */
    var copyDelay: () -> Duration? = { null }

    /** Submits the job through [via], or through any controller if null; returns the conclusive status code. */
    suspend fun submit(spec: JobSpec, via: ControllerPort? = null): Int {
        while (true) {
            // Users upload the description before they submit.
            observer.jobs.getOrPut(spec.id) { spec }
            val controller = via ?: anyController()
            val sentAt = clocks.mark()
            val body = Cbor.encode(JobWire.encodeSpec(spec))
            val response = controller.submit(body)
            if (response != null) deliverCopyLater { submit(body) }
            if (response != null && response.status < HttpStatus.TOO_MANY_REQUESTS) {
                if (response.status <=
                    HttpStatus.CREATED
                ) {
                    observer.recordResponse(spec.id, response, sentAt)
                } else {
                    observer.jobs.remove(spec.id)
                }
                return response.status
            }
            delay(RETRY_INTERVAL)
        }
    }

    /** Requests the job's status once; null if no conclusive response came. */
    suspend fun poll(id: String, via: ControllerPort? = null): String? =
        request(id, via ?: anyController()) { poll(id) }

    /** Requests the cancellation once and returns the job's status; null if no conclusive response came. */
    suspend fun tryCancel(id: String, via: ControllerPort): String? = request(id, via) { cancel(id) }

    /** Cancels the job through [via], or through any controller if null; returns the job's status. */
    suspend fun cancel(id: String, via: ControllerPort? = null): String {
        while (true) {
            tryCancel(id, via ?: anyController())?.let { return it }
            delay(RETRY_INTERVAL)
        }
    }

    private suspend fun request(
        id: String,
        controller: ControllerPort,
        call: suspend ControllerPort.() -> ApiResponse?,
    ): String? {
        val sentAt = clocks.mark()
        val response = controller.call()
        if (response != null) deliverCopyLater(call)
        return if (response == null ||
            response.status >= HttpStatus.TOO_MANY_REQUESTS
        ) {
            null
        } else {
            observer.recordResponse(id, response, sentAt)
        }
    }

    /** Nobody reads the response to a copy. */
    private fun deliverCopyLater(call: suspend ControllerPort.() -> ApiResponse?) {
        val copyDelay = copyDelay() ?: return
        scope.launch {
            delay(copyDelay)
            anyController().call()
        }
    }

    private companion object {
        val RETRY_INTERVAL = 1.seconds
    }
}
