package topazvale.reconcile

import org.slf4j.LoggerFactory
import topazvale.config.Settings
import topazvale.leader.Term
import topazvale.model.Clocks
import kotlin.time.ComparableTimeMark

/** Decides whether a leader should step down because it lacks a connection that another controller may have. */
internal class TermHealth(
    private val settings: Settings,
    private val term: Term,
    private val cluster: ClusterState,
    private val clocks: Clocks,
    private val areCancellationsCurrent: () -> Boolean,
) {
    private val log = LoggerFactory.getLogger(TermHealth::class.java)
    private var staleSince: ComparableTimeMark? = null

    /** Whether the leader should go on; called regularly by the planning loop. */
    fun mayLead(): Boolean {
        if (hasLostAllWorkers()) {
            log.warn("no worker is responsive any more: another controller may reach them")
            return false
        }
        if (isWatchStale()) {
            log.warn("the watch of the jobs is stale: the state service may be available to another controller")
            return false
        }
        return true
    }

    /**
     * Whether all workers are unresponsive. A leader that reaches the state service but no worker must step down, as
     * the workers' leases would expire under it. A single unresponsive machine is no evidence of that.
     */
    private fun hasLostAllWorkers(): Boolean {
        val limit = settings.workers.lease * UNRESPONSIVE_LEASES
        val known = cluster.machines.values.filter { it.session > 0 && !it.returning }
        return known.size > 1 && known.all { machine ->
            val isUnresponsive = (machine.lastReportAt ?: machine.knownSince).elapsedNow() > limit
            isUnresponsive || machine.responseDelivery.unconfirmedFor > limit
        }
    }

    /**
     * Whether the watch has been stale for too long while renewals of the lease succeed. During an outage of the state
     * service renewals fail as well, and no other controller would do better.
     */
    private fun isWatchStale(): Boolean {
        if (!term.holdsLease || areCancellationsCurrent()) {
            staleSince = null
            return false
        }
        val since = staleSince ?: clocks.mark().also { staleSince = it }
        return since.elapsedNow() > settings.workers.lease * UNRESPONSIVE_LEASES
    }

    private companion object {
        const val UNRESPONSIVE_LEASES = 0.5
    }
}
