package topazvale.emulator

import topazvale.api.ApiResponse

/** A controller as users and workers reach it, in this process or over HTTP; null: no answer came. */
interface ControllerPort {
    /** `POST /agent/beat`. */
    suspend fun report(body: ByteArray): ApiResponse?

    /** `POST /submissions`. */
    suspend fun submit(body: ByteArray): ApiResponse?

    /** `GET /submissions/{id}`. */
    suspend fun poll(id: String): ApiResponse?

    /** `POST /submissions/{id}/abort`. */
    suspend fun cancel(id: String): ApiResponse?
}
