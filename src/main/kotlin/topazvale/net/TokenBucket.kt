package topazvale.net

import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Keeps calls under a rate. Bursts of [burst] tokens are allowed; a taker may run into debt and then waits. */
class TokenBucket(
    private val perSecond: Double,
    private val burst: Double,
    private val time: TimeSource = TimeSource.Monotonic,
) {
    private var tokens = burst
    private var filled: TimeMark = time.markNow()

    private fun fill() {
        val passed = filled.elapsedNow()
        filled = time.markNow()
        tokens = minOf(burst, tokens + perSecond * passed.toDouble(DurationUnit.SECONDS))
    }

    /** Takes [n] tokens whatever is left: for calls that go before all others. */
    fun acquireImmediately(n: Int = 1) {
        fill()
        tokens -= n
    }

    /** Takes [n] tokens if they are there. */
    fun tryAcquire(n: Int = 1): Boolean {
        fill()
        if (tokens < n) return false
        tokens -= n
        return true
    }

    /** How long until a taker of [n] tokens would not have to wait. */
    fun waitTime(n: Int = 1): Duration {
        fill()
        return if (tokens >= n) Duration.ZERO else ((n - tokens) / perSecond).seconds
    }

    /** Takes [n] tokens, and waits until they would have been there. */
    suspend fun acquire(n: Int = 1) {
        val wait = waitTime(n)
        tokens -= n
        if (wait > Duration.ZERO) delay(wait)
    }
}
