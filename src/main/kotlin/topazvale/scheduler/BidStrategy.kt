package topazvale.scheduler

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * The maximum spot price at which a machine is rented. The cloud accepts no bids, so the provisioner compares the price
 * with the bid itself.
 */
interface BidStrategy {
    /** Records the current spot price of a machine type. */
    fun recordPrice(type: String, price: Double, now: Instant)

    /** The maximum price for a machine type; [urgent] if the job has no slack left to wait for a better price. */
    fun bid(type: String, currentPrice: Double, urgent: Boolean, now: Instant): Double
}

/** Bids the lowest price of the last [window] plus [step]; for urgent work the current price plus [step]. */
class WindowMinimumBid(private val window: Duration, private val step: Double) : BidStrategy {
    private data class PricePoint(val at: Instant, val price: Double)

    private val history = HashMap<String, ArrayDeque<PricePoint>>()

    override fun recordPrice(type: String, price: Double, now: Instant) {
        val points = history.getOrPut(type) { ArrayDeque() }
        while (points.isNotEmpty() && points.first().at < now - window) points.removeFirst()
        // Only the minimum counts: earlier prices that are not lower are dropped, so an unchanged price is stored once.
        while (points.isNotEmpty() && points.last().price >= price) points.removeLast()
        points.addLast(PricePoint(now, price))
    }

    override fun bid(type: String, currentPrice: Double, urgent: Boolean, now: Instant): Double {
        if (urgent) return currentPrice + step
        val lowest = history[type]?.filter { it.at >= now - window }?.minOfOrNull { it.price } ?: currentPrice
        return lowest + step
    }
}
