package topazvale.mesh

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.Serializable
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import topazvale.config.Address
import topazvale.config.Seed
import topazvale.net.Http
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** What a node says of itself to another. */
@Serializable
data class PeerWord(
    val member: String,
    /** For how long the state service has not answered it; never more than the life of its process. */
    val silentMs: Long,
    /** The token it leads with, or 0. */
    val token: Long,
)

/** A peer's last word, with when it was asked for and when it came. */
class Heard(val word: PeerWord, val asked: ComparableTimeMark, val came: ComparableTimeMark)

/** Asks the other nodes how they stand with the state service. */
@OptIn(ExperimentalSerializationApi::class)
class Peers(
    private val vertx: Vertx,
    private val scope: CoroutineScope,
    private val others: List<Seed>,
    private val own: () -> PeerWord,
    /** Whether the state service answers us. The peers' words matter where it does not. */
    private val served: () -> Boolean,
) {
    private val http = Http(vertx, connections = 1, connectTimeout = 1.seconds)
    private val words = HashMap<String, Heard>()

    suspend fun listen(at: Address): Int = vertx.createHttpServer(HttpServerOptions().setIdleTimeout(IDLE_S))
        .requestHandler(::handle)
        .listen(at.port, at.host).coAwait().actualPort()

    fun start() = others.forEach { seed -> scope.launch { ask(seed) } }

    val all: List<Heard?> get() = others.map { words[it.member] }

    private fun handle(request: HttpServerRequest) {
        val body = ProtoBuf.encodeToByteArray(own())
        request.response().end(Buffer.buffer(body))
    }

    private suspend fun ask(seed: Seed) {
        while (true) {
            val asked = TimeSource.Monotonic.markNow()
            val reply = http.call(seed.mesh, HttpMethod.GET, "/word", null, LIMIT)
            if (reply?.status == 200) {
                try {
                    words[seed.member] = Heard(ProtoBuf.decodeFromByteArray<PeerWord>(reply.body), asked, TimeSource.Monotonic.markNow())
                } catch (e: SerializationException) {
                    words.remove(seed.member)
                }
            }
            delay(EVERY)
            // Among many nodes these calls add up: where all is well most of them are left out.
            repeat(LEFT_OUT) { if (served()) delay(EVERY) }
        }
    }

    private companion object {
        val EVERY = 1.seconds
        val LIMIT = 1.seconds
        const val LEFT_OUT = 3
        const val IDLE_S = 30
    }
}

/**
 * Whether all peers have been without the state service for as long as we have.
 *
 * [since] is when we last were sure of it. A peer that has had no answer from then until it spoke cannot have led,
 * nor told a user anything, in between. The result is the time up to which this holds for every peer, or null.
 */
fun commonSilence(peers: List<Heard?>, since: ComparableTimeMark): ComparableTimeMark? {
    if (peers.isEmpty() || peers.any { it == null }) return null
    val heard = peers.filterNotNull()
    val allSilent = heard.all { it.came - it.word.silentMs.milliseconds <= since && it.asked > since }
    return if (allSilent) heard.minOf { it.asked } else null
}

/** Whether peers that speak with us get no answers either, none of them. */
fun allSilent(peers: List<Heard?>, fresh: Duration, silence: Duration): Boolean {
    val speaking = peers.filter { it != null && it.came.elapsedNow() < fresh }
    return speaking.isNotEmpty() && speaking.all { it!!.word.silentMs.milliseconds >= silence }
}
