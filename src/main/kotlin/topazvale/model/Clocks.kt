package topazvale.model

import kotlin.time.Clock
import kotlin.time.ComparableTimeMark
import kotlin.time.Instant
import kotlin.time.TimeSource

/**
 * What tells the time: the steady clock for spans, the time of day for what outlives a process. Tests bring their own.
 */
class Clocks(val monotonic: TimeSource.WithComparableMarks, private val wall: Clock) {
    /** Now by the steady clock. */
    fun mark(): ComparableTimeMark = monotonic.markNow()

    /** Now by the time of day. */
    fun now(): Instant = wall.now()

    companion object {
        val SYSTEM = Clocks(TimeSource.Monotonic, Clock.System)
    }
}
