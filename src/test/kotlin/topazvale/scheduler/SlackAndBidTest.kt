package topazvale.scheduler

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.Samples.waiting
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** How long a job can wait for a better price, and the maximum price at which machines are rented for it. */
class SlackAndBidTest {
    @Test
    fun `slack is the time to the deadline minus alpha run times and the boot allowance`() {
        // deadline in, estimate, slack
        val cases = listOf(
            Triple(300.seconds, 20.seconds, 160.seconds),
            Triple(140.seconds, 20.seconds, 0.seconds),
            Triple(10.seconds, 20.seconds, 0.seconds),
            Triple(141.seconds, 20.seconds, 1.seconds),
        )
        for ((deadline, estimate, expected) in cases) {
            val job = waiting(Samples.array, deadline = deadline).copy(estimate = estimate)
            assertEquals(expected, slack.slack(job, Samples.now), "deadline in $deadline")
        }
        assertEquals(0.seconds, slack.slack(waiting(Samples.array), Samples.now), "no deadline")
    }

    @Test
    fun `the bid follows the lowest price of the window, and the current price for urgent jobs`() {
        val bids = WindowMinimumBid(10.minutes, 0.001)
        bids.recordPrice("gpu", 3.0, Samples.now)
        bids.recordPrice("gpu", 4.0, Samples.now + 5.minutes)
        // after, urgent, bid
        val cases = listOf(
            Triple(5.minutes, false, 3.001),
            Triple(5.minutes, true, 4.001),
            Triple(11.minutes, false, 4.001),
        )
        for ((after, urgent, expected) in cases) {
            assertEquals(
                expected,
                bids.bid("gpu", 4.0, urgent, Samples.now + after),
                1e-9,
                "after $after, urgent $urgent",
            )
        }
    }
}
