package topazvale.reconcile

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.DistributionSummary
import io.micrometer.core.instrument.Metrics
import io.micrometer.core.instrument.Timer
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** Metrics of what a leader knows of its workers, in Micrometer's global registry. */
object ClusterMetrics {
    private val outOfOrder by lazy { Counter.builder("reports_out_of_order").register(Metrics.globalRegistry) }
    private val strays by lazy { Counter.builder("stray_tasks").register(Metrics.globalRegistry) }
    private val expiryMargin by lazy { Timer.builder("machine_expiry_margin").register(Metrics.globalRegistry) }
    private val placements by lazy {
        DistributionSummary.builder("placements_per_task").register(Metrics.globalRegistry)
    }

    /** A report was answered that is older than what had been heard of its worker by then. */
    fun reportOutOfOrder() = outOfOrder.increment()

    /** A task was found on a machine that is on no record. */
    fun orphanFound() = strays.increment()

    /** A machine was given up, and so long before its worker's lease had to be over at the latest. */
    fun machineLost(margin: Duration) = expiryMargin.record(margin.toJavaDuration())

    /** A task has got one more placement, and has [count] of them now. */
    fun placementAdded(count: Int) = placements.record(count.toDouble())
}
