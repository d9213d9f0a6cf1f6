package topazvale

import io.micrometer.core.instrument.Metrics
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.extension.AfterEachCallback
import org.junit.jupiter.api.extension.BeforeEachCallback
import org.junit.jupiter.api.extension.ExtensionContext
import topazvale.reconcile.Invariants

/** Fails every test in which a controller detects a violation of one of its invariants. */
class InvariantExtension :
    BeforeEachCallback,
    AfterEachCallback {
    private var violationsBefore = 0.0

    override fun beforeEach(context: ExtensionContext) {
        violationsBefore = violations()
    }

    override fun afterEach(context: ExtensionContext) {
        if (context.tags.contains(VIOLATES)) return
        assertEquals(violationsBefore, violations(), "invariants were violated, see the log")
    }

    companion object {
        /** The tag of tests that violate invariants on purpose. */
        const val VIOLATES = "violates-invariants"
        private val registry = SimpleMeterRegistry().also(Metrics::addRegistry)

        /** The number of violations that this process has counted so far. */
        fun violations(): Double = registry.find(Invariants.METRIC).counters().sumOf { it.count() }
    }
}
