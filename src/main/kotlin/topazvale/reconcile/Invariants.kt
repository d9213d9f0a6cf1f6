package topazvale.reconcile

import io.micrometer.core.instrument.Metrics
import org.slf4j.LoggerFactory

/**
 * Reports violations of conditions that must hold at any time, whatever fails. A violation is logged at `error` and
 * counted, and fails the test in which it occurs.
 */
object Invariants {
    /** Name of the counter; its tag `invariant` names the violated invariant. */
    const val METRIC = "invariant_violations"
    private val log = LoggerFactory.getLogger(Invariants::class.java)

    /** Logs and counts a violation of the named [invariant]; [what] holds the values that violate it. */
    fun reportViolation(invariant: String, what: String) {
        Metrics.counter(METRIC, "invariant", invariant).increment()
        log.atError().addKeyValue("invariant", invariant).addKeyValue("what", what).log("invariant_violated")
    }
}
