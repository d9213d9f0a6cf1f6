package topazvale.net

import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * A token bucket that limits the rate of calls and allows bursts of up to [burst] tokens. The balance may become
 * negative: [acquire] takes its tokens at once and then waits until the bucket has refilled.
 */
class TokenBucket(
    private val tokensPerSecond: Double,
    private val burst: Double,
    private val time: TimeSource = TimeSource.Monotonic,
) {
    private var tokens = burst
    private var lastRefill: TimeMark = time.markNow()

    private fun refill() {
        val elapsed = lastRefill.elapsedNow()
        lastRefill = time.markNow()
        tokens = minOf(burst, tokens + tokensPerSecond * elapsed.toDouble(DurationUnit.SECONDS))
    }

    /** Takes [count] tokens without waiting, even if too few are left: for calls that precede all others. */
    fun acquireImmediately(count: Int = 1) {
        refill()
        tokens -= count
    }

    /** Takes [count] tokens and returns true, or takes none and returns false if fewer are left. */
    fun tryAcquire(count: Int = 1): Boolean {
        refill()
        if (tokens < count) return false
        tokens -= count
        return true
    }

    /** The time until [count] tokens can be acquired without waiting. */
    fun waitTime(count: Int = 1): Duration {
        refill()
        return if (tokens >= count) Duration.ZERO else ((count - tokens) / tokensPerSecond).seconds
    }

    /** Takes [count] tokens, then suspends until the bucket would have held them. */
    suspend fun acquire(count: Int = 1) {
        val wait = waitTime(count)
        tokens -= count
        if (wait > Duration.ZERO) delay(wait)
    }
}
