package topazvale.reconcile

import org.slf4j.LoggerFactory
import topazvale.model.Clocks
import topazvale.model.ExitCause
import topazvale.model.Report
import topazvale.model.ReportedTask
import topazvale.model.TaskState
import topazvale.store.RecordWriter
import kotlin.time.Duration

/** Brings the cluster state up to date with what workers report. Called for each report, on the event loop. */
class ReportProcessor(
    private val cluster: ClusterState,
    private val records: RecordWriter,
    private val token: Long,
    private val lease: Duration,
    runTimes: RunTimes,
    private val clocks: Clocks,
) {
    private val log = LoggerFactory.getLogger(ReportProcessor::class.java)
    private val decisions = DecisionLog(token)
    private val exits = TaskExits(cluster, runTimes, clocks, token, decisions)

    /** Updates the cluster state; true where something changed that the scheduler may act upon. */
    fun applyReport(report: Report, source: ReportSource): Boolean {
        val machine = machine(report) ?: return false
        val renewedBefore = machine.lease.renewedAt
        machine.lease.recordMessage(report, source, token)
        if (!isNewer(report, machine)) {
            if (machine.lease.renewedAt != renewedBefore) overtaken(report, machine)
            return false
        }
        val answered = source == ReportSource.ANSWERED
        if (answered) machine.responseDelivery.reported(report, token, report.session == machine.session, lease)
        val fresh = machine.lastAnsweredReportAt == null || report.session > machine.session
        takeHead(machine, report, answered, fresh)
        var changed = fresh || report.interruptionNotice != null
        for (task in report.tasks) changed = takeTask(machine, report, task) || changed
        // Under a lower token a former leader's command may still be on its way.
        if (report.token >= token && machine.placements.isNotEmpty()) changed = dropMissing(machine, report) || changed
        return changed
    }

    /** The orders in answer to the report, which has to be the machine's newest one. */
    fun orders(machine: ManagedMachine, report: Report) = ReportOrders(machine, report, records).list()

    /** A task is proven to be gone without a report of its exit. */
    fun removeLost(placed: PlacedTask, proof: AbsenceProof) {
        decisions.confirmedAbsent(placed, proof)
        cluster.removePlacement(placed, reported = false)
        cluster.jobs[placed.start.task.job]?.let(cluster::publishCounts)
    }

    /** The machine that reports; null for one that has gone back to the cloud: such reports can only be late copies. */
    private fun machine(report: Report): ManagedMachine? {
        if (cluster.isReturned(report.host)) return null
        if (report.host !in cluster.machines) {
            log.info("unexpected machine {}", report.host)
            cluster.addMachines(report.host, report.market, clocks.now(), listOf(report.host), rentedInThisTerm = false)
        }
        return cluster.machines[report.host]
    }

    /** Copies come late, and from sessions that are over. */
    private fun isNewer(report: Report, machine: ManagedMachine): Boolean =
        if (report.session == machine.session) report.sequence > machine.sequence else report.session > machine.session

    /** The answer to a direct command came first; what the report shows is out of date, that it came is not. */
    private fun overtaken(report: Report, machine: ManagedMachine) {
        machine.lastReportAt = clocks.mark()
        machine.lastAnsweredReportAt = machine.lastReportAt
        ClusterMetrics.reportOutOfOrder()
        decisions.reportOutOfOrder(report, machine)
    }

    private fun takeHead(machine: ManagedMachine, report: Report, answered: Boolean, fresh: Boolean) {
        if (report.session > machine.session) endSessions(machine, report.session)
        // A machine is idle from when it is up, not from when it was asked for.
        if (machine.lastAnsweredReportAt == null) machine.idleSince = clocks.mark()
        machine.endpoint = report.endpoint
        machine.session = report.session
        machine.sequence = report.sequence
        machine.lastReportAt = clocks.mark()
        if (answered || fresh) machine.lastAnsweredReportAt = machine.lastReportAt
        if (answered) machine.placements.values.forEach { it.acknowledgeResponsesBefore(report.sequence) }
        machine.noticeEndsAt = report.interruptionNotice?.let { clocks.mark() + it }
    }

    private fun endSessions(machine: ManagedMachine, session: Long) {
        val proof = AbsenceProof.LaterSession(session)
        machine.placements.values.filter { it.session < session }.forEach { removeLost(it, proof) }
        machine.retainedStarts.clear()
        machine.fetchingImages.clear()
        machine.consecutiveFailures = 0
    }

    private fun takeTask(machine: ManagedMachine, report: Report, task: ReportedTask): Boolean {
        val placed = machine.placements[task.start] ?: return takeStray(machine, report, task)
        if (placed.state == task.state) return false
        placed.state = task.state
        val job = cluster.jobs[task.start.task.job]
        if (placed.hasImage && job != null) cluster.imageFetched(machine, job.spec.image)
        if (task.state == TaskState.RUNNING) placed.runningSince = clocks.mark()
        if (task.state == TaskState.EXITED) exits.exited(placed, job, task.cause ?: ExitCause.ERROR)
        if (job != null) cluster.publishCounts(job)
        return true
    }

    /** A task that is on no record must not stay, but it counts for as long as it is there. */
    private fun takeStray(machine: ManagedMachine, report: Report, task: ReportedTask): Boolean {
        if (task.state == TaskState.EXITED) return false
        val job = cluster.jobs[task.start.task.job]
        val besides = cluster.ledger.of(task.start.task.job).of(task.start.task.index)
        val stray = cluster.place(task.start, machine, report.session, PlacementOrigin.ORPHANED)
        stray.state = task.state
        stray.stopGracePeriod = Duration.ZERO
        decisions.orphanFound(stray, report, job != null, besides.map { it.machine.host })
        ClusterMetrics.orphanFound()
        return true
    }

    private fun dropMissing(machine: ManagedMachine, report: Report): Boolean {
        val listed = report.tasks.mapTo(HashSet()) { it.start }
        val missing = machine.placements.values.filter { it.start !in listed && it.isExpectedInReports }
        val proof = AbsenceProof.NotListed(report.session, report.sequence, report.token)
        missing.forEach { removeLost(it, proof) }
        return missing.isNotEmpty()
    }
}
