package topazvale.mesh

import topazvale.model.Clocks
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What this controller knows of cancellations that any controller has told a user of. A leader that the state service
 * refuses depends on it: tasks of cancelled jobs have to be gone within [cancelLimit] all the same.
 */
class CancellationTracker(cancelLimit: Duration, private val peers: Peers, clocks: Clocks) {
    /** For how long a cancellation matters: its tasks must be gone by then. */
    private val window = cancelLimit + LATE_COMMIT_MARGIN
    private var known: ComparableTimeMark = clocks.mark()

    /** The cancellations of this controller's own users. */
    val log = CancellationLog(window, clocks)

    /**
     * The jobs that users have been told are cancelled, or may have been, by any controller that can be reached. The
     * status of a peer that is gone counts no longer than the peer itself would list it: what it asked for in vain must
     * not be stopped for ever.
     */
    fun reportedJobs(): Set<String> {
        val reported = HashSet(log.ids)
        for (received in peers.all) {
            if (received != null && received.came.elapsedNow() < window) reported += received.status.cancelledJobs
        }
        return reported
    }

    /** Up to when all cancellations are known, where [own] is up to when the state service has told of them. */
    fun completeUntil(own: ComparableTimeMark): ComparableTimeMark {
        known = maxOf(known, own)
        cancellationsCompleteUntil(peers.all, known)?.let { known = maxOf(known, it) }
        return known
    }

    private companion object {
        /** A call to the state service may still be carried out this long after it was made. */
        val LATE_COMMIT_MARGIN = 15.seconds
    }
}
