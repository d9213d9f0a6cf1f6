package topazvale.reconcile

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.DistributionSummary
import io.micrometer.core.instrument.Metrics
import io.micrometer.core.instrument.Timer
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** Metrics of the leader's view of its workers, registered in Micrometer's global registry. */
object ClusterMetrics {
    private val outOfOrder by lazy { Counter.builder("reports_out_of_order").register(Metrics.globalRegistry) }
    private val tokenRaises by lazy { Counter.builder("worker_token_raises").register(Metrics.globalRegistry) }
    private val retainedExits by lazy { DistributionSummary.builder("retained_exits").register(Metrics.globalRegistry) }
    private val expiryMargin by lazy { Timer.builder("machine_expiry_margin").register(Metrics.globalRegistry) }
    private val placements by lazy {
        DistributionSummary.builder("placements_per_task").register(Metrics.globalRegistry)
    }

    /** Counts an answered report that is older than another message already received from its worker. */
    fun reportOutOfOrder() = outOfOrder.increment()

    /**
     * Counts an orphaned task: one that runs on a machine without a start record. [wasCleared] means that this term had
     * told the worker to remove the same start from its reports.
     */
    fun orphanFound(wasCleared: Boolean) = Metrics.counter("stray_tasks", "cleared", wasCleared.toString()).increment()

    /** Counts a raise of the fencing token under which a worker is commanded. */
    fun tokenRaised() = tokenRaises.increment()

    /** Records an answered report with [count] exited tasks that its worker must not forget yet. */
    fun exitsRetained(count: Int) = retainedExits.record(count.toDouble())

    /** Counts a start that was refused on its way out, once for each start. */
    fun startRefused(refusal: StartRefusal) =
        Metrics.counter("starts_refused", "reason", refusal.name.lowercase()).increment()

    /** Counts a job bound to one zone that is held back because its placements are in several. */
    fun jobInSeveralZones() = Metrics.counter("jobs_in_several_zones").increment()

    /** Counts a machine whose type, zone or kind sources disagree about. */
    fun marketDisputed() = Metrics.counter("machine_market_disputes").increment()

    /**
     * Records that a machine was declared lost, and how long after the latest possible end of its worker's lease.
     */
    fun machineLost(margin: Duration) = expiryMargin.record(margin.toJavaDuration())

    /** Records that a task got another placement; [count] includes it. */
    fun placementAdded(count: Int) = placements.record(count.toDouble())
}
