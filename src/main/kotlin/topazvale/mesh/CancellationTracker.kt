package topazvale.mesh

import topazvale.model.Clocks
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The cancellations that any controller has confirmed to a user, as far as this controller knows them. A leader
 * without access to the state service depends on them: it must still stop the tasks of cancelled jobs within
 * [cancelLimit].
 */
class CancellationTracker(cancelLimit: Duration, private val peers: Peers, clocks: Clocks) {
    /** For how long a cancellation is relevant: its tasks must be gone by then. */
    private val window = cancelLimit + DELAYED_COMMIT_MARGIN
    private var knownCompleteUntil: ComparableTimeMark = clocks.mark()

    /** The cancellations that this controller has requested or confirmed. */
    val log = CancellationLog(window, clocks)

    /**
     * The jobs whose cancellation is confirmed to a user, or may be, by any reachable controller. The last status of an
     * unreachable peer is used only for as long as the peer itself would list its entries: a job whose cancellation
     * failed must not be stopped for ever.
     */
    fun reportedJobs(): Set<String> {
        val jobs = HashSet(log.ids)
        for (received in peers.latestStatuses) {
            if (received != null && received.receivedAt.elapsedNow() < window) jobs += received.status.cancelledJobs
        }
        return jobs
    }

    /**
     * The time until which all cancellations are known. [watchedUntil] is the time until which the state service has
     * reported them to this controller.
     */
    fun completeUntil(watchedUntil: ComparableTimeMark): ComparableTimeMark {
        knownCompleteUntil = maxOf(knownCompleteUntil, watchedUntil)
        cancellationsCompleteUntil(peers.latestStatuses, knownCompleteUntil)?.let {
            knownCompleteUntil = maxOf(knownCompleteUntil, it)
        }
        return knownCompleteUntil
    }

    private companion object {
        /** A transaction may still be carried out this long after it was sent to the state service. */
        val DELAYED_COMMIT_MARGIN = 15.seconds
    }
}
