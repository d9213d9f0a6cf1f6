package topazvale.soak

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A fault and the time of its injection, counted from the start of the schedule. */
class ScheduledFault(val at: Duration, val trouble: Trouble, val seed: Int) {
    override fun toString() = "$at $trouble"

    companion object {
        private const val MEAN_INTERVAL_S = 3

        /** Draws the fault schedule of one run: on average one fault every three seconds, so several overlap. */
        fun draw(random: Random, duration: Duration, kinds: List<Trouble>): List<ScheduledFault> {
            val count = (duration.inWholeSeconds / MEAN_INTERVAL_S).toInt()
            val durationMs = duration.inWholeMilliseconds.toInt()
            return List(count) {
                ScheduledFault(random.nextInt(durationMs).milliseconds, kinds.random(random), random.nextInt())
            }.sortedBy { it.at }
        }
    }
}
