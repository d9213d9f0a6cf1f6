package topazvale.model

import kotlin.time.Clock
import kotlin.time.ComparableTimeMark
import kotlin.time.Instant
import kotlin.time.TimeSource

/**
 * The clocks of a controller: the monotonic clock for durations, the wall clock for times that outlive a process. Tests
 * supply their own clocks.
 */
class Clocks(val monotonic: TimeSource.WithComparableMarks, private val wallClock: Clock) {
    /** The current time of the monotonic clock. */
    fun mark(): ComparableTimeMark = monotonic.markNow()

    /** The current time of the wall clock. */
    fun now(): Instant = wallClock.now()

    companion object {
        val SYSTEM = Clocks(TimeSource.Monotonic, Clock.System)
    }
}
