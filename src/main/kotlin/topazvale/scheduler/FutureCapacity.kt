package topazvale.scheduler

import topazvale.model.MachineType
import topazvale.model.Market
import topazvale.model.Resources
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Room that is there or will be: what is free now or after a boot, and more as tasks end. Most rooms are never asked
 * when that will be, so that it is worked out only then.
 */
internal class FutureCapacity(
    val market: Market,
    val type: MachineType,
    private val free: Resources,
    private val releases: Lazy<List<CapacityRelease>> = lazyOf(emptyList()),
) {
    constructor(m: MachineState, free: Resources) : this(m.market, m.type, free, m.releases)

    private val ends by lazy(LazyThreadSafetyMode.NONE) { releases.value.sortedBy { it.expectedIn } }

    /** What has been free after each ending, the room now first. */
    private val after by lazy(LazyThreadSafetyMode.NONE) { ends.runningFold(free) { sum, e -> sum + e.need } }
    private var taken = Resources.NONE

    /** No more than this can ever be free. */
    val most: Resources get() = type.capacity - taken

    /** What will be free by then, if nothing else is placed. */
    fun within(horizon: Duration): Resources {
        var ended = 0
        while (ended < ends.size && ends[ended].expectedIn <= horizon) ended++
        return after[ended] - taken
    }

    /** Some of it is planned for. */
    fun take(room: Resources) {
        taken += room
    }
}

/**
 * How soon a machine must become free to be waited for: as soon as a new one could be up, and later where the deadline
 * leaves time, the estimate being trusted by half.
 */
internal fun horizon(job: WaitingJob, type: MachineType, now: Instant): Duration {
    val deadline = job.deadline ?: return type.bootTime
    val fetch = (job.spec.imageGb / type.fetchGbPerS).seconds
    return maxOf(type.bootTime, deadline - now - job.estimate * 2 - fetch)
}
