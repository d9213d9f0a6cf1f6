package topazvale.scheduler

import topazvale.model.MachineType
import topazvale.model.Market
import topazvale.model.Resources
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * The capacity of a machine over time: what is free now or after its boot, and what its tasks release as they end. For
 * most machines only the maximum is needed, so the release times are computed on demand.
 */
internal class FutureCapacity(
    val market: Market,
    val type: MachineType,
    private val free: Resources,
    private val releases: Lazy<List<CapacityRelease>> = lazyOf(emptyList()),
) {
    constructor(machine: MachineState, free: Resources) : this(machine.market, machine.type, free, machine.releases)

    private val releasesByTime by lazy(LazyThreadSafetyMode.NONE) { releases.value.sortedBy { it.expectedIn } }

    /** The free capacity after each release, starting with the capacity that is free now. */
    private val freeAfterRelease by lazy(LazyThreadSafetyMode.NONE) {
        releasesByTime.runningFold(free) { sum, release -> sum + release.need }
    }
    private var allocated = Resources.NONE

    /** The capacity that remains once all current tasks have ended; no more than this can ever be free. */
    val maxFree: Resources get() = type.capacity - allocated

    /** The capacity that will be free within [horizon] if nothing else is placed. */
    fun freeWithin(horizon: Duration): Resources {
        var released = 0
        while (released < releasesByTime.size && releasesByTime[released].expectedIn <= horizon) released++
        return freeAfterRelease[released] - allocated
    }

    /** Allocates part of the capacity to waiting work, for which nothing has to be rented then. */
    fun allocate(resources: Resources) {
        allocated += resources
    }
}

/**
 * How soon a machine must have free capacity to be worth waiting for: within the boot time of a new machine, or later
 * if the deadline leaves time. The estimated run time is trusted only by half, so it counts twice.
 */
internal fun waitHorizon(job: WaitingJob, type: MachineType, now: Instant): Duration {
    val deadline = job.deadline ?: return type.bootTime
    val fetch = type.fetchSeconds(job.spec.imageGb).seconds
    return maxOf(type.bootTime, deadline - now - job.estimate * 2 - fetch)
}
