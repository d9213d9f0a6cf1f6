package topazvale.api

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.HdrHistogram.Histogram
import kotlin.time.Duration
import io.micrometer.core.instrument.Metrics as GlobalMetrics

/** Response counters and response times. Meters are created on first use to keep the process start fast. */
class Metrics {
    private val registry by lazy { SimpleMeterRegistry().also(GlobalMetrics::addRegistry) }
    private val counters = HashMap<Pair<String, Int>, Counter>()
    private val responseTimes = HashMap<String, Histogram>()

    /** Records the response to a request of [route]. */
    fun recordResponse(route: String, status: Int, duration: Duration) {
        counters.getOrPut(route to status) {
            Counter.builder("answers").tag("route", route).tag("status", status.toString()).register(registry)
        }.increment()
        responseTimes.getOrPut(route) { Histogram(MAX_RECORDED_US, 2) }
            .recordValue(duration.inWholeMicroseconds.coerceIn(0, MAX_RECORDED_US))
    }

    /** All metrics as plain text. */
    fun render(): String = buildString {
        appendLine(registry.metersAsString)
        for ((route, histogram) in responseTimes) {
            appendLine(
                "answer_time_us{route=$route} p50=${histogram.getValueAtPercentile(
                    MEDIAN,
                )} p99=${histogram.getValueAtPercentile(TAIL)}",
            )
        }
    }

    private companion object {
        const val MEDIAN = 50.0
        const val TAIL = 99.0
        const val MAX_RECORDED_US = 60_000_000L
    }
}
