package topazvale.scheduler

import topazvale.Samples
import topazvale.Samples.machine
import topazvale.Samples.snapshot
import topazvale.model.Rank
import topazvale.model.Resources
import topazvale.model.Start
import topazvale.model.TaskId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

internal val slack = UrgencySlack(alpha = 4.0, bootAllowance = 60.seconds)
internal val placement = Placement()

internal fun provisioner(bids: BidStrategy = WindowMinimumBid(10.minutes, 0.001)) =
    Provisioner(slack, bids, idleTimeout = 45.seconds)

internal fun planRentals(snapshot: Snapshot, job: WaitingJob, bids: BidStrategy = WindowMinimumBid(10.minutes, 0.001)) =
    provisioner(bids).planRentals(snapshot, PlacementPlan(emptyList(), listOf(job)), emptySet(), maxMachines = 10)

/** An ordinary task that occupies a whole plain machine and loses little work when it is preempted. */
internal fun ordinaryRelease(index: Int) = CapacityRelease(
    Start(TaskId("job-9", index), 1),
    Samples.plain.capacity,
    60.seconds,
    Rank.NORMAL,
    1.seconds,
)

/** A full plain machine that is expected to be free again after [freeIn]. */
internal fun soonFree(host: String, freeIn: Duration, zone: String = "a") = machine(host, zone = zone).copy(
    free = Resources.NONE,
    releases = lazyOf(listOf(CapacityRelease(null, Samples.plain.capacity, freeIn))),
)
