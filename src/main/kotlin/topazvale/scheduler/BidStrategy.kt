package topazvale.scheduler

import kotlin.time.Duration
import kotlin.time.Instant

/** The highest spot price at which a machine is rented. The cloud takes no bid, so that we hold ourselves to it. */
interface BidStrategy {
    /** A spot price was seen. */
    fun recordPrice(type: String, price: Double, now: Instant)

    /** The ceiling while [urgent] is false, and where it is true. */
    fun bid(type: String, current: Double, urgent: Boolean, now: Instant): Double
}

/** The lowest price of the last [window] plus a step; for urgent work the current price plus a step. */
class WindowMinimumBid(private val window: Duration, private val step: Double) : BidStrategy {
    private data class Seen(val at: Instant, val price: Double)

    private val history = HashMap<String, ArrayDeque<Seen>>()

    override fun recordPrice(type: String, price: Double, now: Instant) {
        val past = history.getOrPut(type) { ArrayDeque() }
        while (past.isNotEmpty() && past.first().at < now - window) past.removeFirst()
        // A price that stands is kept once: only its lowest value counts.
        while (past.isNotEmpty() && past.last().price >= price) past.removeLast()
        past.addLast(Seen(now, price))
    }

    override fun bid(type: String, current: Double, urgent: Boolean, now: Instant): Double {
        if (urgent) return current + step
        val lowest = history[type]?.filter { it.at >= now - window }?.minOfOrNull { it.price } ?: current
        return lowest + step
    }
}
