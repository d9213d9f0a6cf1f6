package topazvale.api

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.HdrHistogram.Histogram
import kotlin.time.Duration
import io.micrometer.core.instrument.Metrics as GlobalMetrics

/** Counters and answer times. Made when first asked of, as starting has to be quick. */
class Metrics {
    private val registry by lazy { SimpleMeterRegistry().also(GlobalMetrics::addRegistry) }
    private val counters = HashMap<Pair<String, Int>, Counter>()
    private val times = HashMap<String, Histogram>()

    /** A request of a route has been answered. */
    fun answered(route: String, status: Int, took: Duration) {
        counters.getOrPut(route to status) {
            Counter.builder("answers").tag("route", route).tag("status", status.toString()).register(registry)
        }.increment()
        times.getOrPut(route) { Histogram(LONGEST_US, 2) }
            .recordValue(took.inWholeMicroseconds.coerceIn(0, LONGEST_US))
    }

    /** All metrics as plain text. */
    fun text(): String = buildString {
        appendLine(registry.metersAsString)
        for ((route, h) in times) {
            appendLine(
                "answer_time_us{route=$route} p50=${h.getValueAtPercentile(
                    MEDIAN,
                )} p99=${h.getValueAtPercentile(TAIL)}",
            )
        }
    }

    private companion object {
        const val MEDIAN = 50.0
        const val TAIL = 99.0
        const val LONGEST_US = 60_000_000L
    }
}
