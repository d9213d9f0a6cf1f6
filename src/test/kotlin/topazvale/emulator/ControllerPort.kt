package topazvale.emulator

import topazvale.api.ApiResponse

/** A controller's API for users and workers, in this process or over HTTP. A call without a response returns null. */
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
