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
 * The status that a controller reports to its peers. The field numbers are those of the production version.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class PeerStatus(
    @ProtoNumber(1) val member: String,
    /** Time since the last response from the state service; at most the age of the process. */
    @ProtoNumber(2) val stateUnresponsiveMs: Long,
    /** The fencing token of its current term, or 0. */
    @ProtoNumber(3) val token: Long,
    /**
     * The length of the most recent period in which no cancellation is missing from [cancelledJobs]; at most the age of
     * the process. A version without the list omits this field, and 0 proves nothing; without the field, its empty list
     * would prove that nothing was cancelled.
     */
    @ProtoNumber(4) val cancellationsCompleteMs: Long = 0,
    /** The jobs whose cancellation it confirmed in that period, or requested without learning the outcome. */
    @ProtoNumber(5) val cancelledJobs: List<String> = emptyList(),
    /** The highest fencing token of all terms of its process, or 0. */
    @ProtoNumber(6) val highestLedToken: Long = 0,
    /** Time since the last response to a read or a transaction. A version without the field omits it. */
    @ProtoNumber(7) val dataUnresponsiveMs: Long = 0,
    /** Time since a worker last reported to its process; 0 if none has. A version without the field omits it. */
    @ProtoNumber(8) val workerHeardMsAgo: Long = 0,
) {
    /** Whether the state service has served it within [limit], as far as its version tells. */
    fun isServedWithin(limit: Duration) = maxOf(stateUnresponsiveMs, dataUnresponsiveMs).milliseconds < limit

    /** The encoded message. */
    fun encode(): ByteArray = ProtoBuf.encodeToByteArray(this)

    companion object {
        private val log = LoggerFactory.getLogger(PeerStatus::class.java)

        /** Null for a message that cannot be decoded: it proves nothing. */
        fun decode(bytes: ByteArray): PeerStatus? = try {
            ProtoBuf.decodeFromByteArray<PeerStatus>(bytes)
        } catch (e: IllegalArgumentException) {
            logUnreadable(e)
        } catch (
            // Thrown by the decoder for a truncated message.
            @Suppress("TooGenericExceptionCaught") e: IndexOutOfBoundsException,
        ) {
            logUnreadable(e)
        }

        private fun logUnreadable(cause: RuntimeException): PeerStatus? {
            log.warn("peer status cannot be read: {}", cause.toString())
            return null
        }
    }
}

/** A peer's status, with the times at which it was requested and received. */
class ReceivedStatus(val status: PeerStatus, val requestedAt: ComparableTimeMark, val receivedAt: ComparableTimeMark)

/**
 * The time until which the peers prove that this controller knows all cancellations confirmed to users; null if they
 * prove nothing.
 *
 * [since] is the time until which this controller already knows them. A peer that has had no response from the state
 * service from [since] until it made its status cannot have led or confirmed anything in that period. A peer whose list
 * reaches back to [since] names all cancellations that it confirmed. An unreachable peer, or one that restarted after
 * [since], proves nothing. The caller must check with [highestToken] that no peer has led in that period.
 */
fun cancellationsCompleteUntil(peers: List<ReceivedStatus?>, since: ComparableTimeMark): ComparableTimeMark? {
    if (peers.isEmpty() || peers.any { it == null }) return null
    val received = peers.filterNotNull()
    val allComplete = received.all {
        it.requestedAt > since &&
            maxOf(it.status.stateUnresponsiveMs, it.status.cancellationsCompleteMs).milliseconds >=
            it.receivedAt - since
    }
    return if (allComplete) received.minOf { it.requestedAt } else null
}

/** The highest fencing token of any term that a peer is known to have led. */
fun highestToken(peers: List<ReceivedStatus?>): Long =
    peers.maxOfOrNull { if (it == null) 0 else maxOf(it.status.token, it.status.highestLedToken) } ?: 0

/** Whether the state service serves peers, as far as is known. */
enum class PeerAccess { SOME_SERVED, ALL_CUT_OFF, UNKNOWN }

/**
 * Whether the state service has served any reachable peer within [limit]; unknown if no peer is reachable. A peer is
 * reachable if its status is younger than [maxStatusAge].
 */
fun peerAccess(peers: List<ReceivedStatus?>, maxStatusAge: Duration, limit: Duration): PeerAccess {
    val reachable = peers.filterNotNull().filter { it.receivedAt.elapsedNow() < maxStatusAge }
    return when {
        reachable.isEmpty() -> PeerAccess.UNKNOWN
        reachable.any { it.status.isServedWithin(limit) } -> PeerAccess.SOME_SERVED
        else -> PeerAccess.ALL_CUT_OFF
    }
}
