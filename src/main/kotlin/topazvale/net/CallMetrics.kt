package topazvale.net

import io.micrometer.core.instrument.Metrics
import io.micrometer.core.instrument.Tags

/** What a call was waiting for. */
internal enum class CallPhase { CONNECTION, RESPONSE }

/** Metrics of one HTTP client, tagged with its [name]: open connections, calls under way, calls without a response. */
internal class CallMetrics(private val name: String) : ConnectionListener {
    private val tags = Tags.of("client", name)
    private val pendingCalls = CallPhase.entries.associateWith { 0 }.toMutableMap()
    private var openConnections = 0
    private var isRegistered = false

    override fun connectionOpened() {
        registerOnce()
        openConnections++
    }

    override fun connectionClosed() {
        openConnections--
    }

    /** Counts a call as pending in [phase] while [block] runs. */
    inline fun <T> during(phase: CallPhase, block: () -> T): T {
        add(phase, 1)
        try {
            return block()
        } finally {
            add(phase, -1)
        }
    }

    /** Counts a call that ended without a response while it waited for [phase]. */
    fun unanswered(phase: CallPhase) = Metrics.counter("http_calls_unanswered", tags.and(phaseTag(phase))).increment()

    private fun add(phase: CallPhase, count: Int) {
        pendingCalls.merge(phase, count, Int::plus)
    }

    /** On the first connection and not before: meters take their share of the process start. */
    private fun registerOnce() {
        if (isRegistered) return
        isRegistered = true
        Metrics.gauge("http_connections", tags, this) { it.openConnections.toDouble() }
        for (phase in CallPhase.entries) {
            Metrics.gauge("http_calls_pending", tags.and(phaseTag(phase)), this) {
                it.pendingCalls.getValue(phase).toDouble()
            }
        }
    }

    private fun phaseTag(phase: CallPhase) = Tags.of("phase", phase.name.lowercase())
}
