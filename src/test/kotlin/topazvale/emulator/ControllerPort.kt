package topazvale.emulator

import topazvale.api.Answer

/** A controller as users and workers reach it, in this process or over HTTP; null: no answer came. */
interface ControllerPort {
    /** `POST /agent/beat`. */
    suspend fun report(body: ByteArray): Answer?

    /** `POST /submissions`. */
    suspend fun submit(body: ByteArray): Answer?

    /** `GET /submissions/{id}`. */
    suspend fun poll(id: String): Answer?

    /** `POST /submissions/{id}/abort`. */
    suspend fun cancel(id: String): Answer?
}
