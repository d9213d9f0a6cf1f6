package topazvale.mesh

import topazvale.model.Clocks
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Whether the peers hear workers that this controller does not hear. */
enum class PeerContact {
    /** A peer has heard a worker. */
    SOME_PEER_HEARS,

    /** Every peer is reachable, and none has heard a worker. */
    NO_PEER_HEARS,

    /** A peer is unreachable, has heard no worker since its process began, or does not tell. */
    UNKNOWN,
}

/** Tracks whether this controller and its peers hear workers, as the evidence on which a leader yields to a peer. */
class WorkerContact(private val statuses: () -> List<ReceivedStatus?>, private val clocks: Clocks) {
    private var lastReportAt: ComparableTimeMark? = null

    /** Whether this process has yielded its leadership for want of workers since it last heard one. */
    var hasYielded = false
        private set

    /** The time since a worker last reported to this process, in milliseconds and at least 1; 0 if none has. */
    val heardMsAgo: Long get() = lastReportAt?.let { it.elapsedNow().inWholeMilliseconds.coerceAtLeast(1) } ?: 0

    /** Records a worker's report to this controller, whether it leads or not. */
    fun recordReport() {
        lastReportAt = clocks.mark()
        hasYielded = false
    }

    /** Records that this process yields its leadership because it hears no worker. */
    fun recordYield() {
        hasYielded = true
    }

    /** Whether a peer has heard a worker after [since]; a status older than [maxStatusAge] proves nothing. */
    fun peersHeardSince(since: ComparableTimeMark, maxStatusAge: Duration): PeerContact {
        val latest = statuses().map { status -> status?.takeIf { it.receivedAt.elapsedNow() < maxStatusAge } }
        val lastHeard = latest.map { it?.lastWorkerReportAt }
        return when {
            lastHeard.any { it != null && it > since } -> PeerContact.SOME_PEER_HEARS
            lastHeard.any { it == null } -> PeerContact.UNKNOWN
            else -> PeerContact.NO_PEER_HEARS
        }
    }

    /** The latest time at which the peer can have heard a worker, as of its status; null if it does not tell. */
    private val ReceivedStatus.lastWorkerReportAt: ComparableTimeMark?
        get() = if (status.workerHeardMsAgo == 0L) null else receivedAt - status.workerHeardMsAgo.milliseconds
}
