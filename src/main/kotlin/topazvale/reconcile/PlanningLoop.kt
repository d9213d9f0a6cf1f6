package topazvale.reconcile

import topazvale.model.Start
import topazvale.model.TaskId
import topazvale.scheduler.Assignment
import topazvale.scheduler.Placement
import topazvale.scheduler.PlacementPlan
import topazvale.scheduler.Provisioner
import topazvale.scheduler.Snapshot
import topazvale.scheduler.UrgencySlack
import topazvale.scheduler.WindowMinimumBid
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Makes plans from snapshots of the cluster state and carries them out: records starts, preempts tasks, and submits
 * rentals and returns of machines to the provisioning loop. The leadership term calls it while starts are allowed.
 */
internal class PlanningLoop(
    context: TermContext,
    private val cluster: ClusterState,
    private val starts: StartLog,
    runTimes: RunTimes,
    private val directCommands: DirectCommands,
    private val stopper: TaskStopper,
) {
    private val term = context.term
    private val decisions = DecisionLog(context.term.token)
    private val provisioningLog = ProvisioningLog(context.term.token)
    private val token = context.term.token
    private val clocks = context.clocks
    private val tuning = context.settings.tuning
    private val bids = WindowMinimumBid(tuning.bidWindow, tuning.bidStep)
    private val placement = Placement()
    private val provisioner = Provisioner(UrgencySlack(tuning.alpha, tuning.bootAllowance), bids, tuning.idleTimeout)
    private val snapshots = SnapshotBuilder(context.settings, cluster, token, runTimes, clocks)
    private val zoneConflicts = ZoneConflicts(cluster.ledger, AdmissionLog(context.term.token))
    private var provisionedAt: ComparableTimeMark = clocks.mark()
    private var attempts = 0L

    /** Rents and returns machines as planned; the leadership term runs it. */
    val provisioning = ProvisioningLoop(context, cluster, bids)

    /** Makes one plan and carries it out. */
    fun plan(watchAge: Duration) {
        val provisionNow = provisioning.acceptsRequests && provisionedAt.elapsedNow() >= PROVISION_INTERVAL
        val snapshot = snapshots.build(clocks.now(), provisionNow)
        zoneConflicts.update(snapshot.jobs)
        val plan = placement.plan(snapshot)
        val placed = plan.assignments.flatMap(::assign)
        starts.record(placed)
        if (placed.isNotEmpty()) decisions.startsPlanned(placed, term.lastRenewedAt.elapsedNow(), watchAge)
        plan.preempted.forEach(stopper::preempt)
        if (provisionNow) submitRentals(snapshot, plan)
        returnIdle(snapshot, plan)
    }

    private fun submitRentals(snapshot: Snapshot, plan: PlacementPlan) {
        provisionedAt = clocks.mark()
        provisioning.submit(
            provisioner.planRentals(snapshot, plan, provisioning.marketsInCooldown(), MAX_RENTED_PER_PLAN),
        )
    }

    private fun returnIdle(snapshot: Snapshot, plan: PlacementPlan) {
        for (host in provisioner.planReturns(snapshot, plan.reservedHosts)) {
            val machine = cluster.machines[host]
            // This plan may have placed tasks on a machine that the snapshot shows as idle.
            if (machine == null || machine.placements.isNotEmpty()) continue
            machine.returning = true
            provisioningLog.returnRequested(machine, ReturnReason.IDLE)
        }
    }

    private fun assign(assignment: Assignment): List<PlacedTask> {
        val job = cluster.jobs.getValue(assignment.job)
        val machine = cluster.machines.getValue(assignment.host)
        // All tasks of a gang share one attempt number, by which they find each other.
        if (!job.spec.isGang || job.placements.isEmpty()) attempts++
        val placed = job.nextTasks(assignment.tasks).map { index ->
            // The term's token keeps the attempts of different terms distinct.
            val start = Start(TaskId(assignment.job, index), Attempts.of(token, attempts))
            cluster.place(start, machine, machine.session, PlacementOrigin.STARTED)
        }
        directCommands.enqueue(machine)
        cluster.imageFetchStarted(machine, job.spec)
        placed.forEach(decisions::assigned)
        placed.forEach(::checkPlace)
        return placed
    }

    /** Checks the invariant that no start is planned where its job must not run. */
    private fun checkPlace(placed: PlacedTask) {
        val refusal = cluster.admission.placeRefusal(placed) ?: return
        val zones = cluster.ledger.of(placed.start.task.job).byZone
        Invariants.reportViolation("wrong_place", "$placed on ${placed.machine.market}: $refusal, placements in $zones")
    }

    private companion object {
        /** The most machines that one plan rents, however much work waits. */
        const val MAX_RENTED_PER_PLAN = 200
        val PROVISION_INTERVAL = 1.seconds
    }
}
