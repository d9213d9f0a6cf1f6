package topazvale.reconcile

import org.slf4j.LoggerFactory
import topazvale.config.Settings
import topazvale.leader.Term
import topazvale.model.Clocks
import kotlin.time.ComparableTimeMark

/** Tells whether a leader is of use: one that lacks a link that others may have should give way. */
internal class TermHealth(
    private val settings: Settings,
    private val term: Term,
    private val cluster: ClusterState,
    private val clocks: Clocks,
    private val knowsCancellations: () -> Boolean,
) {
    private val log = LoggerFactory.getLogger(TermHealth::class.java)
    private var uninformedSince: ComparableTimeMark? = null

    /** Called regularly by the planning loop. */
    fun mayLead(): Boolean {
        if (hearsNoWorker()) {
            log.warn("no worker is heard any more: another controller may reach them")
            return false
        }
        if (isUninformed()) {
            log.warn("the watch of the jobs is silent: another controller may be served")
            return false
        }
        return true
    }

    /**
     * A leader that reaches the state service but none of its workers must not hold the cluster: their leases would run
     * out under it. One silent machine says nothing; all of them together do.
     */
    private fun hearsNoWorker(): Boolean {
        val limit = settings.workers.lease * SILENT_LEASES
        val known = cluster.machines.values.filter { it.session > 0 && !it.returning }
        return known.size > 1 && known.all { machine ->
            val silent = (machine.lastReportAt ?: machine.knownSince).elapsedNow() > limit
            silent || machine.responseDelivery.unconfirmedFor > limit
        }
    }

    /**
     * Renewals succeed while the watch says nothing. During an outage renewals fail too, and nobody is served better.
     */
    private fun isUninformed(): Boolean {
        if (!term.holdsLease || knowsCancellations()) {
            uninformedSince = null
            return false
        }
        val since = uninformedSince ?: clocks.mark().also { uninformedSince = it }
        return since.elapsedNow() > settings.workers.lease * SILENT_LEASES
    }

    private companion object {
        const val SILENT_LEASES = 0.5
    }
}
