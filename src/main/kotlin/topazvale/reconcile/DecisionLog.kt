package topazvale.reconcile

import org.slf4j.LoggerFactory
import org.slf4j.spi.LoggingEventBuilder
import topazvale.model.Report
import topazvale.model.ReportResponse
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * Logs the decisions of a leadership term as structured events: an event name with key=value pairs that state why the
 * decision was allowed. Decisions about machines are logged at `info`, those about single tasks at `debug`.
 */
class DecisionLog(private val token: Long) {
    private val log = LoggerFactory.getLogger(DecisionLog::class.java)

    /** All records below a prefix were read, as of [revision]. */
    fun recordsRead(prefix: String, count: Int, revision: Long, took: Duration) = event(log.atInfo()) {
        add("prefix", prefix).add("records", count).add("revision", revision).add("took", took)
            .log("records_read")
    }

    /** The cluster state was rebuilt. It is [complete] if all start and machine records were readable. */
    fun rebuilt(cluster: ClusterState, complete: Boolean) = event(log.atInfo()) {
        add("jobs", cluster.jobs.size).add("machines", cluster.machines.size)
            .add("placements", cluster.machines.values.sumOf { it.placements.size }).add("complete", complete)
            .log("rebuilt")
    }

    /** The starts of a plan were added to the start log. */
    fun startsPlanned(starts: List<PlacedTask>, leaseAge: Duration, watchAge: Duration) = event(log.atInfo()) {
        add("starts", starts.size).add("machines", starts.mapTo(HashSet()) { it.machine.host }.size)
            .add("leaseAge", leaseAge).add("watchAge", watchAge)
            .log("starts_planned")
    }

    /** A task was assigned to a machine. */
    fun assigned(placed: PlacedTask) = event(log.atDebug()) {
        placement(placed).add("seenAge", placed.machine.lastReportAt.age).log("assigned")
    }

    /** A task is to stop within the termination grace period. */
    fun stopRequested(placed: PlacedTask, request: StopRequest) = event(log.atDebug()) {
        placement(placed).add("state", placed.state).add("reason", request.reason).add("grace", request.gracePeriod)
            .log("stop_wanted")
    }

    /** A placement is no longer tracked: its task is confirmed absent from the machine. */
    fun confirmedAbsent(placed: PlacedTask, proof: AbsenceProof) = event(log.atDebug()) {
        placement(placed).add("proof", proof).log("placement_gone")
    }

    /** A machine was declared lost: its worker's lease has expired. */
    fun machineLost(machine: ManagedMachine, grounds: LeaseGrounds) = event(log.atInfo()) {
        add("machine", machine.host).add("tasks", machine.placements.size).add("grounds", grounds)
            .log("machine_given_up")
    }

    /**
     * An orphaned task was found on a machine; [otherHosts] are the machines of the task's other placements, and
     * [trace] tells what this term did with the start.
     */
    fun orphanFound(
        placed: PlacedTask,
        report: Report,
        jobKnown: Boolean,
        otherHosts: List<String>,
        trace: StartTrace?,
    ) = event(log.atWarn()) {
        placement(placed).add("sequence", report.sequence).add("workerToken", report.token)
            .add("jobKnown", jobKnown).add("besides", otherHosts).add("trace", trace)
            .log("stray_task")
    }

    /** A report was answered after a newer message of its worker had been received. */
    fun reportOutOfOrder(report: Report, machine: ManagedMachine) = event(log.atDebug()) {
        add("machine", report.host).add("session", report.session).add("sequence", report.sequence)
            .add("newest", "${machine.session}.${machine.sequence}").add("newestAge", machine.lastReportAt.age)
            .log("report_out_of_order")
    }

    /** A report was answered with [response]. */
    fun reportAnswered(report: Report, response: ReportResponse) = event(log.atDebug()) {
        add("machine", report.host).add("session", report.session).add("sequence", report.sequence)
            .add("workerToken", report.token).add("token", response.token).add("orders", response.orders.size)
            .log("report_answered")
    }

    /** The token of a machine's worker was raised from [previous], so that [exits] exited tasks can be cleared. */
    fun tokenRaised(machine: ManagedMachine, previous: Long, exits: Int) = event(log.atDebug()) {
        add("machine", machine.host).add("session", machine.session).add("previous", previous)
            .add("token", machine.commandToken.current).add("exits", exits)
            .log("token_raised")
    }

    private inline fun event(builder: LoggingEventBuilder, write: LoggingEventBuilder.() -> Unit) {
        builder.add("term", token).write()
    }
}

/** Adds a key=value pair to the event. */
internal fun LoggingEventBuilder.add(key: String, value: Any?): LoggingEventBuilder = addKeyValue(key, value)

/** Adds the start and the machine of a placement to the event. */
internal fun LoggingEventBuilder.placement(placed: PlacedTask): LoggingEventBuilder =
    add("task", placed.start.task).add("attempt", placed.start.attempt).add("machine", placed.machine.host)
        .add("session", placed.session).add("zone", placed.machine.market.zone).add("origin", placed.origin)

/** Time elapsed since the mark; null without a mark. */
internal val ComparableTimeMark?.age: Duration? get() = this?.elapsedNow()
