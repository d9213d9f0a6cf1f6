package topazvale.mesh

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import kotlinx.serialization.protobuf.ProtoNumber
import org.slf4j.LoggerFactory
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What a controller tells its peers of itself. The numbers of the fields are those that the production version knows.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class PeerStatus(
    @ProtoNumber(1) val member: String,
    /** For how long the state service has not answered it; never more than the life of its process. */
    @ProtoNumber(2) val stateUnresponsiveMs: Long,
    /** The token it leads with, or 0. */
    @ProtoNumber(3) val token: Long,
    /**
     * For how long [cancelledJobs] has been complete; never more than the life of its process. A version that does not
     * know of the list says nothing here, which proves nothing: an empty list would prove that nothing was cancelled.
     */
    @ProtoNumber(4) val cancellationsCompleteMs: Long = 0,
    /** The jobs it has told users are cancelled in that time, or has asked to cancel without learning the outcome. */
    @ProtoNumber(5) val cancelledJobs: List<String> = emptyList(),
    /** The highest token that its process has led with, or 0. */
    @ProtoNumber(6) val highestLedToken: Long = 0,
) {
    /** As it is sent. */
    fun encode(): ByteArray = ProtoBuf.encodeToByteArray(this)

    companion object {
        private val log = LoggerFactory.getLogger(PeerStatus::class.java)

        /** Null for what cannot be read: it proves nothing. */
        fun decode(bytes: ByteArray): PeerStatus? = try {
            ProtoBuf.decodeFromByteArray<PeerStatus>(bytes)
        } catch (e: IllegalArgumentException) {
            unreadable(e)
        } catch (
            // The decoder's own exception for a message that ends too early.
            @Suppress("TooGenericExceptionCaught") e: IndexOutOfBoundsException,
        ) {
            unreadable(e)
        }

        private fun unreadable(cause: RuntimeException): PeerStatus? {
            log.warn("a peer's status cannot be read: {}", cause.toString())
            return null
        }
    }
}

/** A peer's last status, with when it was asked for and when it came. */
class ReceivedStatus(val status: PeerStatus, val asked: ComparableTimeMark, val came: ComparableTimeMark)

/**
 * Up to when the peers prove that no user was told of a cancellation that we do not know of; null if they do not.
 *
 * [since] is up to when we knew it ourselves. A peer that has had no answer of the state service from then until its
 * status was made cannot have led, nor told a user anything, in between; one whose list reaches back to then names all
 * that it told. A peer that cannot be reached, or has started anew since, proves nothing. That none of them has led in
 * between has to be seen from [highestToken].
 */
fun cancellationsCompleteUntil(peers: List<ReceivedStatus?>, since: ComparableTimeMark): ComparableTimeMark? {
    if (peers.isEmpty() || peers.any { it == null }) return null
    val heard = peers.filterNotNull()
    val all = heard.all {
        it.asked > since &&
            maxOf(it.status.stateUnresponsiveMs, it.status.cancellationsCompleteMs).milliseconds >= it.came - since
    }
    return if (all) heard.minOf { it.asked } else null
}

/** The highest token that any peer is known to lead with or to have led with. */
fun highestToken(peers: List<ReceivedStatus?>): Long =
    peers.maxOfOrNull { if (it == null) 0 else maxOf(it.status.token, it.status.highestLedToken) } ?: 0

/** Whether peers that speak with us get no answers either, none of them. */
fun allLackStateService(peers: List<ReceivedStatus?>, fresh: Duration, silence: Duration): Boolean {
    val speaking = peers.filter { it != null && it.came.elapsedNow() < fresh }
    return speaking.isNotEmpty() && speaking.all { it!!.status.stateUnresponsiveMs.milliseconds >= silence }
}
