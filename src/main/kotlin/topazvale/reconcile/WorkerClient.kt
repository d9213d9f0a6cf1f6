package topazvale.reconcile

import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import org.slf4j.LoggerFactory
import topazvale.config.Address
import topazvale.model.DirectCommand
import topazvale.model.Report
import topazvale.net.Call
import topazvale.net.Http
import topazvale.net.HttpStatus
import topazvale.net.PoolSettings
import topazvale.net.Sockets
import topazvale.wire.MalformedException
import topazvale.wire.WorkerWire
import kotlin.time.Duration.Companion.seconds

/** A worker's response to a direct command: its [report] after it carried out the orders or refused all of them. */
class CommandResponse(val isAccepted: Boolean, val report: Report)

/** Sends commands directly to a worker. */
interface WorkerClient {
    /** Sends the command to the worker at [endpoint]; null without a response. */
    suspend fun command(endpoint: String, command: DirectCommand): CommandResponse?
}

/** Sends commands over HTTP. */
class HttpWorkerClient(vertx: Vertx, sockets: Sockets) : WorkerClient {
    private val log = LoggerFactory.getLogger(HttpWorkerClient::class.java)
    private val http = Http(vertx, PoolSettings("workers", maxConnections = 1, keepAlive = KEEP_ALIVE), sockets)

    override suspend fun command(endpoint: String, command: DirectCommand): CommandResponse? {
        val address = Address(endpoint.substringBeforeLast(':'), endpoint.substringAfterLast(':').toInt())
        val body = WorkerWire.encodeCommand(command)
        val reply = http.call(address, Call(HttpMethod.POST, "/commands", body, TIMEOUT))
        if (reply == null || (reply.status != HttpStatus.OK && reply.status != HttpStatus.CONFLICT)) return null
        return try {
            CommandResponse(reply.status == HttpStatus.OK, WorkerWire.decodeReport(reply.body))
        } catch (e: MalformedException) {
            log.warn("the response of {} cannot be read: {}", endpoint, e.message)
            null
        }
    }

    private companion object {
        val TIMEOUT = 2.seconds

        /** Short, as there are far fewer sockets than workers. */
        val KEEP_ALIVE = 5.seconds
    }
}
