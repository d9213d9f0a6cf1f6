package topazvale.reconcile

import topazvale.model.JobRecord
import topazvale.model.JobStatus
import topazvale.model.TaskState
import java.util.BitSet
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A job that has not ended, as this leader knows it. [placements] are those of its tasks; [knownAt] is the highest
 * revision of the state service that the leader had received when the job became known.
 */
class ManagedJob(
    record: JobRecord,
    version: Long,
    val placements: JobPlacements = JobPlacements(),
    val knownAt: Long = 0,
) {
    var record: JobRecord = record
        private set

    /** The version of [record] in the state service. */
    var version: Long = version
        private set
    val spec get() = record.spec

    /** The indexes of the tasks that are done. */
    val done = BitSet()
    var doneCount = 0

    /** Failures since a task of the job last succeeded. The backoff before the next start grows with them. */
    var consecutiveFailures = 0

    /** The machines on which tasks of the job have failed since one last succeeded. */
    private val failedHosts = HashSet<String>()

    /** No task of the job starts before this time; null without a backoff. */
    var notBefore: ComparableTimeMark? = null

    /** The transaction that finalizes the job is in progress. */
    var isFinalizing = false

    /** The backoffs of replicas that exited without being stopped, by task index. */
    private val backoffs = HashMap<Int, ReplicaBackoff>()

    /**
     * A controller has reported the job as cancelled to its user, or may have done so. Its tasks must not run then,
     * whatever its record says.
     */
    var isReportedCancelled = false

    /** All tasks are done; never true for a service. */
    val isComplete get() = doneCount == spec.tasks && !spec.isService

    /** According to the record the job is not cancelled. */
    val isLive get() = record.status == JobStatus.LIVE

    /** Whether tasks of the job may run. */
    val shouldRun get() = isLive && !isReportedCancelled

    /** Replaces the record by a newer one. */
    fun update(record: JobRecord, version: Long) {
        this.record = record
        this.version = version
    }

    /** The number of tasks that could start now. */
    val pendingTasks: Int
        get() {
            val notDone = spec.tasks - doneCount - placements.tasks.count { !done.get(it) }
            return notDone - backoffs.count { (index, backoff) -> index !in placements && backoff.isActive }
        }

    /** The number of running tasks that users are shown. */
    val runningTasks get() = placements.all.count { it.state == TaskState.RUNNING || it.state == TaskState.SAVING }

    /**
     * Records that a replica exited without being stopped, after running for [ranFor]. [backoffAfter] maps the number
     * of consecutive exits to the time until its next start.
     */
    fun recordReplicaExit(index: Int, ranFor: Duration, now: ComparableTimeMark, backoffAfter: (Int) -> Duration) {
        val exits = if (ranFor > STABLE_RUN_TIME) 1 else (backoffs[index]?.consecutiveExits ?: 0) + 1
        if (ranFor > STABLE_RUN_TIME) recordSuccess()
        backoffs[index] = ReplicaBackoff(exits, now + backoffAfter(exits))
    }

    /**
     * Records that a task failed on a machine, and returns whether the failure counts against the machine. A job that
     * fails on one machine after another is itself faulty. If its failures counted everywhere, every machine it reached
     * would be returned to the cloud, together with all other work there.
     */
    fun recordFailure(host: String): Boolean {
        failedHosts += host
        return failedHosts.size <= MAX_FAULTY_MACHINES
    }

    /** Records that a task succeeded: neither the job nor the machines on which it failed are faulty. */
    fun recordSuccess() {
        consecutiveFailures = 0
        failedHosts.clear()
    }

    /** Returns the indexes of the next tasks to start, at most [count]. */
    fun nextTasks(count: Int): List<Int> {
        val next = ArrayList<Int>(count)
        var index = done.nextClearBit(0)
        while (next.size < count && index < spec.tasks) {
            if (index !in placements && backoffs[index]?.isActive != true) next += index
            index = done.nextClearBit(index + 1)
        }
        return next
    }

    private companion object {
        /** A replica that ran for longer than this did not exit because of a fault at its start. */
        val STABLE_RUN_TIME = 60.seconds

        /** Machines are rarely faulty: a job that fails on more of them than this is itself faulty. */
        const val MAX_FAULTY_MACHINES = 2
    }
}

/**
 * The backoff of a replica that exits repeatedly. It grows with each exit, and does not delay the job's other replicas.
 */
class ReplicaBackoff(val consecutiveExits: Int, private val until: ComparableTimeMark) {
    /** Whether the replica must not start yet. */
    val isActive get() = until.hasNotPassedNow()
}
