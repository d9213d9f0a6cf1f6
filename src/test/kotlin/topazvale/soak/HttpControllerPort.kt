package topazvale.soak

import io.vertx.core.http.HttpMethod
import topazvale.api.ApiResponse
import topazvale.config.Address
import topazvale.emulator.ControllerPort
import topazvale.net.Call
import topazvale.net.Http
import kotlin.time.Duration.Companion.seconds

/** The HTTP client of users and workers for one controller. */
class HttpControllerPort(private val http: Http, private val address: Address) : ControllerPort {
    override suspend fun report(body: ByteArray) = call(HttpMethod.POST, "/agent/beat", body)

    override suspend fun submit(body: ByteArray) = call(HttpMethod.POST, "/submissions", body)

    override suspend fun poll(id: String) = call(HttpMethod.GET, "/submissions/$id", null)

    override suspend fun cancel(id: String) = call(HttpMethod.POST, "/submissions/$id/abort", null)

    private suspend fun call(method: HttpMethod, path: String, body: ByteArray?): ApiResponse? =
        http.call(address, Call(method, path, body, CALL_TIMEOUT))?.let { ApiResponse(it.status, it.body) }

    private companion object {
        val CALL_TIMEOUT = 5.seconds
    }
}
