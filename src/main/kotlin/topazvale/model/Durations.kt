package topazvale.model

import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.DurationUnit
import kotlin.time.toDuration

/** The longest duration that is accepted, a century: sums and small multiples of it are finite. */
val MAX_DURATION: Duration = 36_500.days

/**
 * Converts a non-negative amount of time that was received. A longer duration than [MAX_DURATION] is shortened to that;
 * one above zero stays above zero, as the protocol gives zero a meaning of its own.
 */
fun boundedDuration(amount: Double, unit: DurationUnit): Duration =
    if (amount == 0.0) Duration.ZERO else amount.toDuration(unit).coerceIn(1.nanoseconds, MAX_DURATION)
