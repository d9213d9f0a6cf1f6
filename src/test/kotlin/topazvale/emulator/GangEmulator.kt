package topazvale.emulator

import topazvale.config.WorkerLimits
import topazvale.model.Clocks
import kotlin.time.ComparableTimeMark

/** What the tasks of one attempt of a gang do together. */
enum class GangPhase {
    /** Some task of the attempt does not have its image yet. */
    WAITING,

    /** The gang was not complete in time, and its tasks exit. */
    INCOMPLETE,

    /** All tasks run. */
    RUNNING,

    /** A task of the running gang is gone, and the others have noticed. */
    BROKEN,

    /** A task has completed, and so have all. */
    DONE,
}

/** Lets the tasks of gangs on all emulated workers find one another by their attempt. */
class GangEmulator(private val clocks: Clocks, private val limits: WorkerLimits) {
    private class Attempt(val waitsSince: ComparableTimeMark) {
        val present = HashSet<String>()
        var startedAt: ComparableTimeMark? = null
        var lostTaskAt: ComparableTimeMark? = null
        var isDone = false
    }

    private data class AttemptKey(val job: String, val attempt: Long)

    private val attempts = HashMap<AttemptKey, Attempt>()

    /** Records that a task of a gang of [size] tasks has its image. */
    fun arrive(task: String, attempt: Long, size: Int) {
        val gang = attempts.getOrPut(key(task, attempt)) { Attempt(clocks.mark()) }
        gang.present += task
        if (gang.present.size == size && gang.startedAt == null) gang.startedAt = clocks.mark()
    }

    /** Records that a task is no longer on its machine. */
    fun leave(task: String, attempt: Long) {
        val gang = attempts[key(task, attempt)] ?: return
        val wasPresent = gang.present.remove(task)
        if (wasPresent && gang.startedAt != null && gang.lostTaskAt == null) gang.lostTaskAt = clocks.mark()
    }

    /** Records that a task has completed. */
    fun complete(task: String, attempt: Long) {
        attempts[key(task, attempt)]?.isDone = true
    }

    /** When all tasks of the attempt began to run; null before. */
    fun startedAt(task: String, attempt: Long): ComparableTimeMark? = attempts[key(task, attempt)]?.startedAt

    /** What the tasks of the attempt do now. */
    fun phase(task: String, attempt: Long): GangPhase {
        val gang = attempts[key(task, attempt)] ?: return GangPhase.WAITING
        val lostFor = gang.lostTaskAt?.elapsedNow()
        return when {
            gang.isDone -> GangPhase.DONE
            lostFor != null && lostFor > limits.gangPeerTimeout -> GangPhase.BROKEN
            gang.startedAt != null -> GangPhase.RUNNING
            gang.waitsSince.elapsedNow() > limits.gangStartTimeout -> GangPhase.INCOMPLETE
            else -> GangPhase.WAITING
        }
    }

    private fun key(task: String, attempt: Long) = AttemptKey(task.substringBeforeLast('/'), attempt)
}
