package topazvale.reconcile

import org.slf4j.LoggerFactory
import topazvale.mesh.PeerContact
import topazvale.mesh.WorkerContact
import kotlin.time.ComparableTimeMark

/** Decides whether a leader should step down because it lacks a connection that another controller may have. */
internal class TermHealth(
    context: TermContext,
    private val cluster: ClusterState,
    private val workerContact: WorkerContact,
    private val areCancellationsCurrent: () -> Boolean,
) {
    private val log = LoggerFactory.getLogger(TermHealth::class.java)
    private val term = context.term
    private val clocks = context.clocks
    private val lease = context.settings.workers.lease
    private val silenceLimit = lease * UNRESPONSIVE_LEASES
    private val termStart: ComparableTimeMark = clocks.mark()
    private var staleSince: ComparableTimeMark? = null

    /** Whether the leader should go on; called regularly by the planning loop. */
    fun mayLead(): Boolean {
        if (hasLostAllWorkers() && mayPeerReachWorkers()) {
            log.warn("no worker is responsive any more: another controller may reach them")
            workerContact.recordYield()
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
        val known = cluster.machines.values.filter { it.session > 0 && !it.returning }
        return known.size > 1 && known.all { machine ->
            val isUnresponsive = (machine.lastReportAt ?: machine.knownSince).elapsedNow() > silenceLimit
            isUnresponsive || machine.responseDelivery.unconfirmedFor > silenceLimit
        }
    }

    /**
     * Whether another controller may reach workers that this one has lost. A leader that had workers in its term does
     * not wait for the peers' word, because the leases go on running. One that never had any knows the machines from
     * records alone, and they may all be gone: each new leader would step down before their leases have certainly
     * expired. It goes on if no peer has heard a worker in its term. Where a peer can't tell, this process yields once.
     */
    private fun mayPeerReachWorkers(): Boolean {
        if (cluster.machines.values.any { it.token >= term.token }) return true
        return when (workerContact.peersHeardSince(termStart, maxStatusAge = lease)) {
            PeerContact.SOME_PEER_HEARS -> true
            PeerContact.NO_PEER_HEARS -> false
            PeerContact.UNKNOWN -> !workerContact.hasYielded
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
        return since.elapsedNow() > silenceLimit
    }

    private companion object {
        const val UNRESPONSIVE_LEASES = 0.5
    }
}
