package topazvale.reconcile

import io.micrometer.core.instrument.Metrics
import org.slf4j.LoggerFactory

/** What must hold at any time, whatever fails. A violation is logged at `error` and counted; tests fail on it. */
object Invariants {
    /** The counter's name; its tag `invariant` names what was violated. */
    const val METRIC = "invariant_violations"
    private val log = LoggerFactory.getLogger(Invariants::class.java)

    /** The invariant of that name does not hold. */
    fun reportViolation(invariant: String, what: String) {
        Metrics.counter(METRIC, "invariant", invariant).increment()
        log.atError().addKeyValue("invariant", invariant).addKeyValue("what", what).log("invariant_violated")
    }
}
