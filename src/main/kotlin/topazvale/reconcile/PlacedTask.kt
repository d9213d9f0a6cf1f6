package topazvale.reconcile

import topazvale.model.JobSpec
import topazvale.model.Order
import topazvale.model.Resources
import topazvale.model.Start
import topazvale.model.TaskState
import topazvale.store.RecordWriter
import kotlin.time.ComparableTimeMark

/**
 * A task that is, or may be, on a machine. It occupies its resources there until it is confirmed absent.
 *
 * [spec] is the description of its job; null if the job is unknown.
 */
class PlacedTask(
    val start: Start,
    val machine: ManagedMachine,
    val session: Long,
    val spec: JobSpec?,
    val origin: PlacementOrigin,
) {
    /** The resources that it occupies; none for an orphaned task of an unknown job, whose needs are unknown too. */
    val need: Resources get() = spec?.need ?: Resources.NONE

    /** Whether it was found on the machine without a start record. */
    val isOrphaned: Boolean get() = origin == PlacementOrigin.ORPHANED

    /** Whether the placement was recorded or reported, rather than created by a start of this leader. */
    val isInherited: Boolean get() = origin != PlacementOrigin.STARTED

    /** The start record is durable once this write ticket is. */
    var ticket = Long.MAX_VALUE

    /** The record that holds the start; null for an orphaned task, which has none. */
    var batch: StartBatch? = null

    /** The state last reported; null until a report lists the task. */
    var state: TaskState? = null
    var runningSince: ComparableTimeMark? = null

    /** The stop that the task is to get, which may change until it has exited; null while it should run. */
    var stopRequest: StopRequest? = null

    /** The stop in the last direct command that held one; responses to reports repeat the stop anyway. */
    var directlySentStop: StopRequest? = null

    /** The stop order that the worker should get now; null if the task should run, or may finish saving. */
    val stopOrder: Order.Stop?
        get() {
            val request = stopRequest ?: return null
            val maySave = state == TaskState.SAVING && !request.reason.endsSaving
            return if (maySave) null else Order.Stop(start, request.gracePeriod)
        }

    /** Whether the start order was sent, in a response to a report or as a direct command. */
    var startSent = false

    /**
     * The sequence number of the report whose response held the start order; null once that response has arrived or
     * can no longer arrive. A worker has one report in flight, so its next report tells that; its response to a direct
     * command does not.
     */
    var startSentInReport: Long? = null

    /**
     * Whether a direct command with the start is unresolved: it may still be carried out until the worker has seen a
     * higher token than [directToken] or begins another session.
     */
    var inDoubt = false
        private set

    /** The fencing token of the last direct command with the start. */
    var directToken = 0L
        private set

    /** Whether the last direct command with the start was refused by the worker, so that it may be sent again. */
    var isDirectStartRefused = false

    /** Records that the start leaves in a direct command under [token]. */
    fun recordDirectStart(token: Long) {
        startSent = true
        inDoubt = true
        isDirectStartRefused = false
        directToken = token
    }

    /** Records that a direct command with the start got a response: it was carried out or refused. */
    fun recordDirectResponse() {
        inDoubt = false
    }

    /** Resolves a doubt if the worker, which has seen [workerToken], refuses the direct command from now on. */
    fun resolveDoubt(workerToken: Long) {
        if (workerToken > directToken) inDoubt = false
    }

    /** Whether the worker may have received the start, or may still receive it. */
    val mayHaveBeenSent get() = isInherited || startSent || inDoubt || state != null

    /** Whether the machine has the image of the task, so that the task is past its fetch. */
    val hasImage get() = state != null && state != TaskState.FETCHING

    /** Whether a report under this leader's token that does not list the task confirms it absent. */
    val isExpectedInReports: Boolean
        get() {
            val stopReceived = stopRequest != null && !inDoubt && startSentInReport == null
            return isInherited || state != null || stopReceived
        }

    /** Notes the arrival of a report: the responses to earlier ones have arrived or never will. */
    fun acknowledgeResponsesBefore(sequence: Long) {
        val sentIn = startSentInReport ?: return
        if (sentIn < sequence) startSentInReport = null
    }

    /**
     * Whether orders for the task may be sent. The records of its start and its machine must be durable first, because
     * a later leader treats a start as absent unless it finds both. An orphaned task has no record, and its stop must
     * not wait for one.
     */
    fun mayBeSent(records: RecordWriter): Boolean =
        isOrphaned || (records.isDurable(ticket) && records.isDurable(machine.group.ticket))

    override fun toString() = "$start on ${machine.host}"
}

/** How the leader learned of a placement. */
enum class PlacementOrigin {
    /** This leader started the task. */
    STARTED,

    /** A former leader recorded the start. */
    RECORDED,

    /** The task was found on the machine and has no start record. */
    ORPHANED,
}
