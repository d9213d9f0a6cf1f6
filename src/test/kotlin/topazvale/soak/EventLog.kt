package topazvale.soak

import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** The events of controllers, workers, users and faults in one run, merged by time. Thread-safe. */
class EventLog {
    private class Event(val at: Duration, val source: String, val message: String)

    private val startedAt = TimeSource.Monotonic.markNow()
    private val events = ConcurrentLinkedQueue<Event>()

    /** The time since the start of the run. */
    val now: Duration get() = startedAt.elapsedNow()

    /** Adds an event of the component [source] at the current time. */
    fun add(source: String, message: String) {
        events += Event(now, source, message)
    }

    /** All events as lines, ordered by time. */
    fun lines(): List<String> = events.sortedBy { it.at }.map {
        "%9.3f %-12s %s".format(it.at.toDouble(DurationUnit.SECONDS), it.source, it.message)
    }

    /** The events whose message contains [text], as `source: message`. */
    fun containing(text: String): List<String> =
        events.filter { text in it.message }.map { "${it.source}: ${it.message}" }
}
