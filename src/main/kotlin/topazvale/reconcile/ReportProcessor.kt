package topazvale.reconcile

import org.slf4j.LoggerFactory
import topazvale.model.Clocks
import topazvale.model.ExitCause
import topazvale.model.Report
import topazvale.model.ReportResponse
import topazvale.model.ReportedTask
import topazvale.model.TaskState
import topazvale.store.RecordWriter
import kotlin.time.Duration

/** Applies workers' reports to the cluster state. Called on the event loop for each report. */
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
    private val admissionLog = AdmissionLog(token)
    private val taskExits = TaskExits(cluster, runTimes, clocks, decisions)

    /** Applies a report; true if something changed that may let the scheduler act. */
    fun applyReport(report: Report, source: ReportSource): Boolean {
        val machine = findOrAddMachine(report) ?: return false
        recordMarket(machine, report)
        val previousRenewal = machine.lease.lastRenewedAt
        machine.lease.recordMessage(report, source, token)
        if (!isNewer(report, machine)) {
            if (machine.lease.lastRenewedAt != previousRenewal) recordOutOfOrder(report, machine)
            return false
        }
        val isAnswered = source == ReportSource.ANSWERED
        if (isAnswered) {
            val sameSession = report.session == machine.session
            machine.responseDelivery.recordReport(report, cluster.tokens.highestIssued, sameSession, lease)
        }
        val isFirstOfSession = machine.lastAnsweredReportAt == null || report.session > machine.session
        updateMachine(machine, report, isAnswered, isFirstOfSession)
        var changed = isFirstOfSession || report.interruptionNotice != null
        for (task in report.tasks) changed = updateTask(machine, report, task) || changed
        machine.placements.values.forEach { it.resolveDoubt(report.token) }
        // A worker that has seen only a lower token may still carry out a delayed command of a former leader.
        if (report.token >= token && machine.placements.isNotEmpty()) changed = dropUnlisted(machine, report) || changed
        return changed
    }

    /** The response to a report, which must be the newest of its machine. */
    fun response(machine: ManagedMachine, report: Report): ReportResponse {
        val orders = ReportOrders(machine, report, records, cluster, decisions).compute()
        return ReportResponse(machine.commandToken.current, orders)
    }

    /** Removes a placement whose task is confirmed absent other than by a report of its exit. */
    fun removeLost(placed: PlacedTask, proof: AbsenceProof) {
        decisions.confirmedAbsent(placed, proof)
        cluster.removePlacement(placed, reported = false)
        cluster.jobs[placed.start.task.job]?.let(cluster::publishCounts)
    }

    /** The machine that reports, added if unknown; null if it was returned, as such a report is a delayed copy. */
    private fun findOrAddMachine(report: Report): ManagedMachine? {
        if (cluster.isReturned(report.host)) return null
        if (report.host !in cluster.machines) {
            log.info("unexpected machine {}", report.host)
            cluster.addMachines(report.host, report.market, clocks.now(), listOf(report.host), rentedInThisTerm = false)
        }
        return cluster.machines[report.host]
    }

    private fun recordMarket(machine: ManagedMachine, report: Report) {
        if (!machine.recordMarket(report.market)) return
        ClusterMetrics.marketDisputed()
        admissionLog.marketDisputed(machine, report.market)
    }

    /** Whether the report is newer than all before it; a delayed copy may even stem from an ended session. */
    private fun isNewer(report: Report, machine: ManagedMachine): Boolean =
        if (report.session == machine.session) report.sequence > machine.sequence else report.session > machine.session

    /**
     * Records that the report renews the lease although a response to a direct command arrived before it. Its tasks are
     * out of date, but its arrival shows that the worker is alive.
     */
    private fun recordOutOfOrder(report: Report, machine: ManagedMachine) {
        machine.lastReportAt = clocks.mark()
        machine.lastAnsweredReportAt = machine.lastReportAt
        ClusterMetrics.reportOutOfOrder()
        decisions.reportOutOfOrder(report, machine)
    }

    private fun updateMachine(machine: ManagedMachine, report: Report, isAnswered: Boolean, isFirstOfSession: Boolean) {
        if (report.session > machine.session) endSessions(machine, report.session)
        // The idle time of a machine starts when it is up, not when it was requested.
        if (machine.lastAnsweredReportAt == null) machine.idleSince = clocks.mark()
        machine.endpoint = report.endpoint
        machine.session = report.session
        machine.sequence = report.sequence
        machine.lastReportAt = clocks.mark()
        if (isAnswered || isFirstOfSession) machine.lastAnsweredReportAt = machine.lastReportAt
        if (isAnswered) machine.placements.values.forEach { it.acknowledgeResponsesBefore(report.sequence) }
        machine.noticeEndsAt = report.interruptionNotice?.let { clocks.mark() + it }
    }

    private fun endSessions(machine: ManagedMachine, session: Long) {
        val proof = AbsenceProof.LaterSession(session)
        machine.placements.values.filter { it.session < session }.forEach { removeLost(it, proof) }
        machine.commandToken.recordSessionEnd()
        machine.fetchingImages.clear()
        machine.consecutiveFailures = 0
    }

    private fun updateTask(machine: ManagedMachine, report: Report, task: ReportedTask): Boolean {
        val placed = machine.placements[task.start] ?: return trackOrphan(machine, report, task)
        if (placed.state == task.state) return false
        placed.state = task.state
        val job = cluster.jobs[task.start.task.job]
        if (placed.hasImage && job != null) cluster.imageFetched(machine, job.spec.image)
        if (task.state == TaskState.RUNNING) placed.runningSince = clocks.mark()
        if (task.state == TaskState.EXITED) taskExits.applyExit(placed, job, task.cause ?: ExitCause.ERROR)
        if (job != null) cluster.publishCounts(job)
        return true
    }

    /** Tracks a task that has no record, and stops it; it occupies its resources until it is confirmed absent. */
    private fun trackOrphan(machine: ManagedMachine, report: Report, task: ReportedTask): Boolean {
        if (task.state == TaskState.EXITED) return false
        val job = cluster.jobs[task.start.task.job]
        val otherPlacements = cluster.ledger.of(task.start.task.job).of(task.start.task.index)
        val orphan = cluster.place(task.start, machine, report.session, PlacementOrigin.ORPHANED)
        orphan.state = task.state
        // This leader must have started it, in a command that it no longer knows of.
        if (Attempts.termOf(task.start.attempt) == token) machine.commandToken.recordDirectStart()
        orphan.stopRequest = StopRequest(StopReason.STRAY, Duration.ZERO)
        val trace = cluster.startHistory.of(task.start)
        decisions.orphanFound(orphan, report, job != null, otherPlacements.map { it.machine.host }, trace)
        ClusterMetrics.orphanFound(wasCleared = trace?.clearedAt != null)
        return true
    }

    private fun dropUnlisted(machine: ManagedMachine, report: Report): Boolean {
        val listedStarts = report.tasks.mapTo(HashSet()) { it.start }
        val unlisted = machine.placements.values.filter { it.start !in listedStarts && it.isExpectedInReports }
        val proof = AbsenceProof.NotListed(report.session, report.sequence, report.token)
        unlisted.forEach { removeLost(it, proof) }
        return unlisted.isNotEmpty()
    }
}
