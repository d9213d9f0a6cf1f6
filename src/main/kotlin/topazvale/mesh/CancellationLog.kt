package topazvale.mesh

import topazvale.model.Clocks
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * The cancellations that this controller has confirmed to users, or has requested from the state service without
 * learning the outcome.
 *
 * A leader without access to the state service cannot read them there, yet it must stop the tasks in time. The
 * controllers therefore exchange these logs. An entry expires after [window], as the tasks must be gone by then. If
 * there are more than [maxEntries], the oldest are dropped and the log is complete for a shorter time.
 */
class CancellationLog(
    private val window: Duration,
    private val clocks: Clocks,
    private val maxEntries: Int = MAX_ENTRIES,
) {
    private class Entry(val recordedAt: ComparableTimeMark, val confirmed: Boolean)

    /** By job, oldest first. */
    private val entries = LinkedHashMap<String, Entry>()

    /** The log holds every cancellation recorded since then. */
    private var completeSince: ComparableTimeMark = clocks.mark()

    /** The jobs whose cancellation is confirmed, or may have been carried out. */
    val ids: Set<String> get() = prune().let { entries.keys.toSet() }

    /** The length of the most recent period in which no cancellation is missing from [ids]. */
    val completeFor: Duration get() = completeSince.elapsedNow().coerceAtMost(window)

    /** The cancellation has been confirmed to a user, or is about to be. */
    fun confirmed(id: String) = add(id, true)

    /** The cancellation is being written to the state service: from now on it may be carried out. */
    fun requested(id: String) = add(id, entries[id]?.confirmed ?: false)

    /** The requested cancellation has definitely not been carried out. */
    fun withdrawn(id: String) {
        if (entries[id]?.confirmed == false) entries.remove(id)
    }

    private fun add(id: String, confirmed: Boolean) {
        entries.remove(id)
        entries[id] = Entry(clocks.mark(), confirmed)
        prune()
    }

    private fun prune() {
        val oldest = entries.values.iterator()
        while (oldest.hasNext()) {
            val entry = oldest.next()
            if (entries.size <= maxEntries && entry.recordedAt.elapsedNow() <= window) return
            if (entries.size > maxEntries) completeSince = maxOf(completeSince, entry.recordedAt)
            oldest.remove()
        }
    }

    private companion object {
        /** Keeps a peer status with all entries within about 10 kB. */
        const val MAX_ENTRIES = 800
    }
}
