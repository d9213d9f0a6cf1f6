package topazvale.state

import topazvale.config.StateLimits
import topazvale.net.TokenBucket
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * The rate limits of one node's requests and changes.
 *
 * Any node may at times do most of the work, so each may use more than an even share of the limits. Where the nodes
 * together exceed a limit, the service responds with 429.
 */
internal class RequestLimits(limits: StateLimits, nodes: Int) {
    private val share = if (nodes <= 1) SINGLE_NODE_SHARE else MULTI_NODE_SHARE
    private val requestsPerSecond = limits.rps * share
    private val requestBurst = requestsPerSecond / 2
    private val changesPerSecond = limits.writeRps * share
    private val requests = TokenBucket(requestsPerSecond, requestBurst)
    private val changes = TokenBucket(changesPerSecond, changesPerSecond)

    /** The largest number of requests that can be started in [period]. */
    fun maxRequestsIn(period: Duration): Int =
        (requestBurst + requestsPerSecond * period.toDouble(DurationUnit.SECONDS)).toInt()

    /** Takes the tokens of a request with [changeCount] changes and returns true, or takes none if any is missing. */
    fun tryAcquire(changeCount: Int = 0): Boolean = requests.waitTime() == Duration.ZERO &&
        (changeCount == 0 || changes.tryAcquire(changeCount)) &&
        requests.tryAcquire()

    /** Waits for the tokens of a request with [changeCount] changes. */
    suspend fun acquire(changeCount: Int = 0) {
        requests.acquire()
        if (changeCount > 0) changes.acquire(changeCount)
    }

    /** Takes the token of a request that must not wait. */
    fun acquireImmediately() = requests.acquireImmediately()

    private companion object {
        const val SINGLE_NODE_SHARE = 0.95
        const val MULTI_NODE_SHARE = 0.6
    }
}
