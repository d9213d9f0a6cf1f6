package topazvale.reconcile

import topazvale.model.JobRecord
import topazvale.model.JobStatus
import topazvale.model.TaskState
import java.util.BitSet
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A job that is not over, as this leader knows it; [placements] are the placements of its tasks, [knownAt] is the
 * highest revision of the state service that was known when the job became known.
 */
class ManagedJob(
    record: JobRecord,
    version: Long,
    val placements: JobPlacements = JobPlacements(),
    val knownAt: Long = 0,
) {
    var record: JobRecord = record
        private set

    /** The version of its record. */
    var version: Long = version
        private set
    val spec get() = record.spec

    /** The tasks that are done. */
    val done = BitSet()
    var doneCount = 0

    /** A job that fails wherever it starts is tried less and less often. */
    var consecutiveFailures = 0

    /** The machines on which it has failed since a task of it last succeeded. */
    private val failedOn = HashSet<String>()

    /** No task of it is started before. */
    var notBefore: ComparableTimeMark? = null

    /** Its end is being written. */
    var isFinalizing = false

    /** Replicas that ended by themselves, by index. */
    private val backoffs = HashMap<Int, ReplicaBackoff>()

    /**
     * Some controller has told its user that it is cancelled, or may have: nothing of it may run, whatever its record
     * says.
     */
    var isReportedCancelled = false

    /** All its tasks are done; a service never is. */
    val isComplete get() = doneCount == spec.tasks && !spec.isService

    /** By its record nobody has cancelled it. */
    val isLive get() = record.status == JobStatus.LIVE

    /** Its tasks may run. */
    val shouldRun get() = isLive && !isReportedCancelled

    /** A later record of it was read. */
    fun update(record: JobRecord, version: Long) {
        this.record = record
        this.version = version
    }

    /** How many of its tasks could be started now. */
    val pendingTasks: Int
        get() {
            val notDone = spec.tasks - doneCount - placements.tasks.count { !done.get(it) }
            return notDone - backoffs.count { (index, backoff) -> index !in placements && backoff.rests }
        }

    /** How many of its tasks run, as users see it. */
    val runningTasks get() = placements.all.count { it.state == TaskState.RUNNING || it.state == TaskState.SAVING }

    /**
     * A replica has ended by itself, after it ran for [ran]; [rest]: how long it rests after so many times in a row.
     */
    fun recordReplicaExit(index: Int, ran: Duration, now: ComparableTimeMark, rest: (Int) -> Duration) {
        val times = if (ran > STABLE) 1 else (backoffs[index]?.times ?: 0) + 1
        if (ran > STABLE) recordSuccess()
        backoffs[index] = ReplicaBackoff(times, now + rest(times))
    }

    /**
     * A task has failed on the machine; whether that speaks against the machine. A job that fails on one machine after
     * the other was submitted with a mistake: without that all machines it meets would be returned, with whatever else
     * runs there.
     */
    fun recordFailure(host: String): Boolean {
        failedOn += host
        return failedOn.size <= MOST_FAULTY_MACHINES
    }

    /** A task of it has succeeded: neither the job nor the machines it met are at fault. */
    fun recordSuccess() {
        consecutiveFailures = 0
        failedOn.clear()
    }

    /** The next tasks to start, at most [count]. */
    fun nextTasks(count: Int): List<Int> {
        val found = ArrayList<Int>(count)
        var index = done.nextClearBit(0)
        while (found.size < count && index < spec.tasks) {
            if (index !in placements && backoffs[index]?.rests != true) found += index
            index = done.nextClearBit(index + 1)
        }
        return found
    }

    private companion object {
        /** A replica that served for this long had no fault from its start. */
        val STABLE = 60.seconds

        /** Machines are seldom faulty: a job on which so many fail is at fault itself. */
        const val MOST_FAULTY_MACHINES = 2
    }
}

/** A replica that ends again and again is started less and less often, and its fellows as ever. */
class ReplicaBackoff(val times: Int, private val until: ComparableTimeMark) {
    /** Whether it is not to be started yet. */
    val rests get() = until.hasNotPassedNow()
}
