package topazvale.emulator

import kotlinx.coroutines.delay
import topazvale.api.ApiResponse
import topazvale.model.Clocks
import topazvale.model.JobSpec
import topazvale.net.HttpStatus
import topazvale.wire.Cbor
import topazvale.wire.JobWire
import kotlin.time.Duration.Companion.seconds

/** Users by the protocol: they ask again until they get an answer that settles the matter, and note what they are told. */
class UserEmulator(
    private val observer: ProtocolObserver,
    private val clocks: Clocks,
    private val anyController: suspend () -> ControllerPort,
) {
    /** Submits the job through [via], or whatever takes it; the status that settled it. */
    suspend fun submit(spec: JobSpec, via: ControllerPort? = null): Int {
        while (true) {
            // Users upload the description before they submit.
            observer.jobs.getOrPut(spec.id) { spec }
            val controller = via ?: anyController()
            val asked = clocks.mark()
            val answer = controller.submit(Cbor.encode(JobWire.encodeSpec(spec)))
            if (answer != null && answer.status < HttpStatus.TOO_MANY_REQUESTS) {
                if (answer.status <=
                    HttpStatus.CREATED
                ) {
                    observer.recordResponse(spec.id, answer, asked)
                } else {
                    observer.jobs.remove(spec.id)
                }
                return answer.status
            }
            delay(RETRY)
        }
    }

    /** Asks once; the status told, or null without an answer that tells one. */
    suspend fun poll(id: String, via: ControllerPort? = null): String? = ask(id, via ?: anyController()) { poll(id) }

    /** Asks once to cancel the job; null without an answer that settles it. */
    suspend fun tryCancel(id: String, via: ControllerPort): String? = ask(id, via) { cancel(id) }

    /** Cancels the job through [via], or whatever takes it; the status told. */
    suspend fun cancel(id: String, via: ControllerPort? = null): String {
        while (true) {
            tryCancel(id, via ?: anyController())?.let { return it }
            delay(RETRY)
        }
    }

    private suspend fun ask(
        id: String,
        of: ControllerPort,
        question: suspend ControllerPort.() -> ApiResponse?,
    ): String? {
        val asked = clocks.mark()
        val answer = of.question()
        return if (answer == null ||
            answer.status >= HttpStatus.TOO_MANY_REQUESTS
        ) {
            null
        } else {
            observer.recordResponse(id, answer, asked)
        }
    }

    private companion object {
        val RETRY = 1.seconds
    }
}
