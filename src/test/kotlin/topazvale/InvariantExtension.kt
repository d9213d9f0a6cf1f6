package topazvale

import io.micrometer.core.instrument.Metrics
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.extension.AfterEachCallback
import org.junit.jupiter.api.extension.BeforeEachCallback
import org.junit.jupiter.api.extension.ExtensionContext
import topazvale.reconcile.Invariants

/** Fails every test in which a controller finds one of its own invariants violated. */
class InvariantExtension :
    BeforeEachCallback,
    AfterEachCallback {
    private var before = 0.0

    override fun beforeEach(context: ExtensionContext) {
        before = violations()
    }

    override fun afterEach(context: ExtensionContext) {
        if (context.tags.contains(VIOLATES)) return
        assertEquals(before, violations(), "invariants are violated, see the log")
    }

    companion object {
        /** The tag of tests that violate invariants on purpose. */
        const val VIOLATES = "violates-invariants"
        private val registry = SimpleMeterRegistry().also(Metrics::addRegistry)

        /** How many violations there have been in this process. */
        fun violations(): Double = registry.find(Invariants.METRIC).counters().sumOf { it.count() }
    }
}
