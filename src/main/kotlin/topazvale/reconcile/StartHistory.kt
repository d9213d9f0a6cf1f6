package topazvale.reconcile

import topazvale.model.Clocks
import topazvale.model.ExitCause
import topazvale.model.Start
import kotlin.time.ComparableTimeMark

/**
 * What a leadership term did with its most recent starts, kept for the analysis of failures after the starts have
 * ended. No decision rests on it. The starts that are used least recently are dropped beyond [maxStarts].
 */
class StartHistory(private val clocks: Clocks, private val maxStarts: Int = MAX_STARTS) {
    private val entries = object : LinkedHashMap<Start, StartTrace>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Start, StartTrace>) = size > maxStarts
    }

    /** What is known of the start; null for one that this term neither sent nor saw, or that was dropped. */
    fun of(start: Start): StartTrace? = entries[start]

    /** The start left in a direct command under [token] to a worker in the [session]. */
    fun sentDirectly(start: Start, token: Long, session: Long) = trace(start).also {
        it.directlySentAt = clocks.mark()
        it.directToken = token
        it.session = session
    }

    /** The direct command with the start was answered. */
    fun answered(start: Start) = trace(start).run { answeredAt = clocks.mark() }

    /** The start left in the response to a report. */
    fun sentInResponse(start: Start) = trace(start).run { sentInResponseAt = clocks.mark() }

    /** The worker reported the exit of the task. */
    fun exited(start: Start, cause: ExitCause) = trace(start).run {
        exitedAt = clocks.mark()
        exitCause = cause
    }

    /** The worker was told, in the response to a report, to remove the start from its reports. */
    fun cleared(start: Start) = trace(start).run { clearedAt = clocks.mark() }

    private fun trace(start: Start) = entries.getOrPut(start, ::StartTrace)

    private companion object {
        /** About a megabyte; some minutes of starts on the largest fleets. */
        const val MAX_STARTS = 4096
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}

/** When a start was sent, and when it was answered, ended and cleared; null for what did not happen in this term. */
class StartTrace {
    var directlySentAt: ComparableTimeMark? = null

    /** The fencing token of the last direct command with the start. */
    var directToken: Long? = null

    /** The session of that command. */
    var session: Long? = null
    var answeredAt: ComparableTimeMark? = null
    var sentInResponseAt: ComparableTimeMark? = null
    var exitedAt: ComparableTimeMark? = null
    var exitCause: ExitCause? = null
    var clearedAt: ComparableTimeMark? = null

    override fun toString() =
        "sentDirectly=${directlySentAt.age} directToken=$directToken answered=${answeredAt.age} " +
            "sentInResponse=${sentInResponseAt.age} exited=${exitedAt.age} cause=$exitCause cleared=${clearedAt.age}"
}
