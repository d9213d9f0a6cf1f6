package topazvale.emulator

import topazvale.model.JobSpec
import topazvale.model.Market
import topazvale.model.Order
import topazvale.model.Start
import topazvale.wire.JobWire
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * The tasks of an emulated worker, from their start to the order that removes them from its reports. [onChange] is
 * called when the worker has something new to report.
 */
internal class EmulatedTasks(
    private val host: String,
    private val market: Market,
    private val environment: WorkerEnvironment,
    private val onChange: () -> Unit,
) {
    private class Task(val runsFrom: ComparableTimeMark?, val endsAt: ComparableTimeMark?, val gang: JobSpec? = null) {
        var status = if (runsFrom == null) "exited" else "pulling"
        var cause: String? = null

        /** When a stopped task will have saved its progress; null unless it saves. */
        var savedAt: ComparableTimeMark? = null

        /** Whether the task has exited after it saved its progress. */
        var stored = false
        val isRunning get() = status == "running"
        val isSaving get() = status == "saving"

        /** Whether the task counts as being on its machine: it has its image and has not exited. */
        val isOnMachine get() = isRunning || isSaving || status == "waiting"
        val isLive get() = status != "exited"
    }

    private data class AttemptKey(val task: String, val attempt: Long)

    private val clocks = environment.clocks
    private val observer = environment.observer
    private val tasks = LinkedHashMap<AttemptKey, Task>()

    /** The number of tasks that reports list. */
    val size: Int get() = tasks.size

    /** The tasks that run on the machine. */
    val running: List<String> get() = tasks.filterValues { it.isRunning }.keys.map { it.task }

    /** The stopped tasks on the machine that save their progress. */
    val saving: List<String> get() = tasks.filterValues { it.isSaving }.keys.map { it.task }

    /** Whether the worker lists the start, in any state. */
    fun isKnown(start: Start): Boolean = key(start) in tasks

    /** Executes an order of the leader. */
    fun execute(order: Order) {
        when (order) {
            is Order.Run -> start(key(order.start))
            is Order.Stop -> stop(key(order.start), order.gracePeriod)
            is Order.Clear -> tasks.remove(key(order.start))
        }
    }

    /** Encodes the tasks as a report lists them. */
    fun encode(): List<Map<String, Any?>> = tasks.map { (key, task) ->
        mapOf(
            "step" to key.task,
            "try" to key.attempt,
            "status" to task.status,
            "cause" to task.cause,
            "stored" to task.stored,
        )
    }

    /** Lets the tasks do what is due. */
    fun advance() {
        for ((key, task) in tasks.entries.map { it.key to it.value }) if (tasks[key] === task) advance(key, task)
    }

    /** Makes the task exit with [cause], as it does without an order. */
    fun exit(id: String, cause: String) {
        for ((key, task) in tasks) if (key.task == id && task.isLive) markExited(key, task, cause)
    }

    /** Kills and forgets all tasks, for [reason]. */
    fun kill(reason: String) {
        for ((key, task) in tasks) {
            if (task.isLive) environment.recordEvent(host, "${describe(key)} is killed: $reason")
            recordStop(key, task)
        }
        tasks.clear()
    }

    private fun key(start: Start) = AttemptKey(start.task.toString(), start.attempt)

    private fun describe(key: AttemptKey) = "${key.task} attempt ${key.attempt}"

    private fun jobOf(key: AttemptKey): JobSpec? = observer.jobs[JobWire.parseTaskId(key.task)!!.job]

    private fun start(key: AttemptKey) {
        if (key in tasks) return
        onChange()
        val spec = jobOf(key)
        val busy = tasks.any { (other, task) -> other.task == key.task && task.isLive }
        if (spec == null || busy) {
            tasks[key] = Task(null, null).also { it.cause = if (spec == null) "no_such" else "busy" }
            return
        }
        val fetchTime = environment.fetchTime(spec)
        val runsFrom = clocks.mark() + fetchTime
        val index = JobWire.parseTaskId(key.task)!!.index
        val endsAt = if (spec.isService) null else runsFrom + environment.taskTime(spec, index)
        val task = Task(runsFrom, endsAt, spec.takeIf { it.isGang })
        tasks[key] = task
        if (fetchTime == Duration.ZERO) begin(key, task)
    }

    private fun begin(key: AttemptKey, task: Task) {
        onChange()
        val spec = checkNotNull(jobOf(key))
        observer.recordAttempt(host, key.task)
        if (observer.hasResult(key.task) && !spec.isService) {
            task.status = "exited"
            task.cause = "done"
            return
        }
        task.status = if (task.gang == null) "running" else "waiting"
        environment.recordEvent(host, "${describe(key)} is ${task.status}")
        observer.recordStart(host, market, key.task, spec)
        if (task.gang != null) environment.gangs.arrive(key.task, key.attempt, spec.tasks)
    }

    /**
     * A running task with checkpoints saves if the grace period suffices; any other task exits at once. A task that
     * saves already goes on unless the grace period is zero. The tasks of a gang exit without saving.
     */
    private fun stop(key: AttemptKey, gracePeriod: Duration) {
        val task = tasks[key] ?: return
        if (!task.isLive || (task.isSaving && gracePeriod > Duration.ZERO)) return
        val spec = jobOf(key)
        val saves = task.isRunning && spec != null && !spec.isGang &&
            spec.checkpointInterval > Duration.ZERO && gracePeriod >= spec.saveTime
        if (!saves) return markExited(key, task, "stopped")
        task.status = "saving"
        task.savedAt = clocks.mark() + spec.saveTime
        onChange()
        environment.recordEvent(host, "${describe(key)} saves for ${spec.saveTime}")
    }

    private fun advance(key: AttemptKey, task: Task) {
        if (task.status == "pulling" && task.runsFrom?.hasPassedNow() == true) begin(key, task)
        when {
            task.isSaving -> advanceSave(key, task)
            task.gang != null && task.isOnMachine -> advanceGangTask(key, task, task.gang)
            task.isRunning && task.endsAt?.hasPassedNow() == true -> markExited(key, task, "done")
        }
    }

    private fun advanceSave(key: AttemptKey, task: Task) {
        if (task.savedAt?.hasPassedNow() != true) return
        task.stored = true
        markExited(key, task, "stopped")
    }

    private fun advanceGangTask(key: AttemptKey, task: Task, spec: JobSpec) {
        when (environment.gangs.phase(key.task, key.attempt)) {
            GangPhase.WAITING -> Unit
            GangPhase.INCOMPLETE -> markExited(key, task, "incomplete")
            GangPhase.BROKEN -> markExited(key, task, "mates_gone")
            GangPhase.DONE -> markExited(key, task, "done")
            GangPhase.RUNNING -> runGangTask(key, task, spec)
        }
    }

    /** The tasks of a gang run for the same time and complete together. */
    private fun runGangTask(key: AttemptKey, task: Task, spec: JobSpec) {
        if (!task.isRunning) {
            task.status = "running"
            onChange()
        }
        val startedAt = environment.gangs.startedAt(key.task, key.attempt) ?: return
        if (startedAt.elapsedNow() < environment.taskTime(spec, 0)) return
        environment.gangs.complete(key.task, key.attempt)
        for (index in 0 until spec.tasks) observer.recordCompletion("${spec.id}/$index")
        markExited(key, task, "done")
    }

    private fun markExited(key: AttemptKey, task: Task, cause: String) {
        recordStop(key, task)
        task.status = "exited"
        task.cause = cause
        onChange()
        environment.recordEvent(host, "${describe(key)} exits: $cause")
        if (cause == "done") observer.recordCompletion(key.task)
    }

    private fun recordStop(key: AttemptKey, task: Task) {
        if (!task.isOnMachine) return
        observer.recordStop(host, key.task)
        if (task.gang != null) environment.gangs.leave(key.task, key.attempt)
    }
}
