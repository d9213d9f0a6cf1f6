package topazvale.mesh

import topazvale.model.Clocks
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * The cancellations that this node has told users of, or has asked the state service for without learning the outcome.
 *
 * A leader that the state service refuses cannot learn of them there, while the tasks have to be gone in time all the
 * same: the nodes tell one another. After [window] they matter no more, as the tasks must be gone by then. Of more than
 * [most] the oldest are left out, and what is left is complete for a shorter time.
 */
class CancellationLog(private val window: Duration, private val clocks: Clocks, private val most: Int = MOST) {
    private class Entry(val at: ComparableTimeMark, val told: Boolean)

    /** In the order of their times. */
    private val entries = LinkedHashMap<String, Entry>()

    /** Since when nothing is missing. */
    private var complete: ComparableTimeMark = clocks.mark()

    val ids: Set<String> get() = prune().let { entries.keys.toSet() }

    /** For how long [ids] has been complete. */
    val completeFor: Duration get() = complete.elapsedNow().coerceAtMost(window)

    /** A user has been told, or is about to be. */
    fun confirmed(id: String) = add(id, true)

    /** The state service is being asked: from now on the cancellation may be carried out. */
    fun requested(id: String) = add(id, entries[id]?.told ?: false)

    /** What was asked has certainly not been carried out. */
    fun withdrawn(id: String) {
        if (entries[id]?.told == false) entries.remove(id)
    }

    private fun add(id: String, told: Boolean) {
        entries.remove(id)
        entries[id] = Entry(clocks.mark(), told)
        prune()
    }

    private fun prune() {
        val oldest = entries.values.iterator()
        while (oldest.hasNext()) {
            val entry = oldest.next()
            if (entries.size <= most && entry.at.elapsedNow() <= window) return
            if (entries.size > most) complete = maxOf(complete, entry.at)
            oldest.remove()
        }
    }

    private companion object {
        /** A word with all of them stays within some ten kilobytes. */
        const val MOST = 800
    }
}
