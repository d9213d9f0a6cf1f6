package topazvale.reconcile

import org.slf4j.LoggerFactory
import org.slf4j.spi.LoggingEventBuilder
import topazvale.model.Order
import topazvale.model.Report
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * The decisions of a leadership term as structured log events: an event's name with key=value pairs for the ground on
 * which the decision was allowed. Decisions about machines are logged at `info`, those about single tasks at `debug`.
 */
class DecisionLog(private val token: Long) {
    private val log = LoggerFactory.getLogger(DecisionLog::class.java)

    /** All records below a prefix were read, as of [revision]. */
    fun recordsRead(prefix: String, count: Int, revision: Long, took: Duration) = event(log.atInfo()) {
        add("prefix", prefix).add("records", count).add("revision", revision).add("took", took)
            .log("records_read")
    }

    /** The cluster state was rebuilt; [complete]: from records that could all be read. */
    fun rebuilt(cluster: ClusterState, complete: Boolean) = event(log.atInfo()) {
        add("jobs", cluster.jobs.size).add("machines", cluster.machines.size)
            .add("placements", cluster.machines.values.sumOf { it.placements.size }).add("complete", complete)
            .log("rebuilt")
    }

    /** The starts of a plan were put on record. */
    fun startsPlanned(starts: List<PlacedTask>, leaseAge: Duration, watchAge: Duration) = event(log.atInfo()) {
        add("starts", starts.size).add("machines", starts.mapTo(HashSet()) { it.machine.host }.size)
            .add("leaseAge", leaseAge).add("watchAge", watchAge)
            .log("starts_planned")
    }

    /** A task was assigned to a machine. */
    fun assigned(placed: PlacedTask) = event(log.atDebug()) {
        placement(placed).add("seenAge", placed.machine.lastReportAt.age).log("assigned")
    }

    /** A task is to stop. */
    fun stopRequested(placed: PlacedTask, reason: StopReason, grace: Duration) = event(log.atDebug()) {
        placement(placed).add("reason", reason).add("grace", grace).log("stop_wanted")
    }

    /** A placement stops counting. */
    fun confirmedAbsent(placed: PlacedTask, proof: AbsenceProof) = event(log.atDebug()) {
        placement(placed).add("proof", proof).log("placement_gone")
    }

    /** A machine is given up: its worker's lease is over. */
    fun machineLost(machine: ManagedMachine, grounds: LeaseGrounds) = event(log.atInfo()) {
        add("machine", machine.host).add("tasks", machine.placements.size).add("grounds", grounds)
            .log("machine_given_up")
    }

    /** A task is on a machine, and on no record; [besides]: the machines of the task's other placements. */
    fun orphanFound(placed: PlacedTask, report: Report, jobKnown: Boolean, besides: List<String>) =
        event(log.atWarn()) {
            placement(placed).add("sequence", report.sequence).add("workerToken", report.token)
                .add("jobKnown", jobKnown).add("besides", besides)
                .log("stray_task")
        }

    /** A report was answered though something newer had been heard of its worker. */
    fun reportOutOfOrder(report: Report, machine: ManagedMachine) = event(log.atDebug()) {
        add("machine", report.host).add("session", report.session).add("sequence", report.sequence)
            .add("newest", "${machine.session}.${machine.sequence}").add("newestAge", machine.lastReportAt.age)
            .log("report_out_of_order")
    }

    /** A report was answered with [orders]. */
    fun reportAnswered(report: Report, orders: List<Order>) = event(log.atDebug()) {
        add("machine", report.host).add("session", report.session).add("sequence", report.sequence)
            .add("workerToken", report.token).add("orders", orders.size)
            .log("report_answered")
    }

    private inline fun event(builder: LoggingEventBuilder, write: LoggingEventBuilder.() -> Unit) {
        builder.add("term", token).write()
    }

    private fun LoggingEventBuilder.placement(placed: PlacedTask): LoggingEventBuilder =
        add("task", placed.start.task).add("attempt", placed.start.attempt).add("machine", placed.machine.host)
            .add("session", placed.session)
}

/** Why a task is to stop. */
enum class StopReason { JOB_OVER, GANG_BROKEN, MACHINE_TAKEN, PREEMPTED, STRAY }

/** One more key=value pair of an event. */
internal fun LoggingEventBuilder.add(key: String, value: Any?): LoggingEventBuilder = addKeyValue(key, value)

/** How long ago that was; null for what has not been. */
internal val ComparableTimeMark?.age: Duration? get() = this?.elapsedNow()
