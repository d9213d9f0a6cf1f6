package topazvale.soak

import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** What controllers, workers, users and troubles did in one run, merged by time. Used from any thread. */
class EventLog {
    private class Event(val at: Duration, val who: String, val what: String)

    private val began = TimeSource.Monotonic.markNow()
    private val events = ConcurrentLinkedQueue<Event>()

    /** Since the run began. */
    val now: Duration get() = began.elapsedNow()

    /** Somebody did something just now. */
    fun add(who: String, what: String) {
        events += Event(now, who, what)
    }

    /** All lines in the order of their times. */
    fun lines(): List<String> = events.sortedBy { it.at }.map {
        "%9.3f %-12s %s".format(it.at.toDouble(DurationUnit.SECONDS), it.who, it.what)
    }

    /** The lines that hold [text]. */
    fun holding(text: String): List<String> = events.filter { text in it.what }.map { "${it.who}: ${it.what}" }
}
