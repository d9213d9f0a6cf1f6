package topazvale.api

import topazvale.model.Clocks
import topazvale.state.Outcome
import topazvale.state.StateService
import topazvale.state.listAll
import topazvale.store.Keys
import topazvale.store.Records
import topazvale.store.TaskCountRecord
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.seconds

/**
 * Task counts for polls. They are for display only and may lag, so the counts of all jobs are read together and cached:
 * a read for each poll would double the requests that polls make to the state service.
 */
class TaskCounts(private val state: StateService, private val clocks: Clocks) {
    private var counts: Map<String, TaskCountRecord> = emptyMap()
    private var refreshStartedAt: ComparableTimeMark? = null
    private var refreshing = false

    /** The most recently read counts of a job; null if it has none. */
    suspend fun of(id: String): TaskCountRecord? {
        if (!refreshing && refreshStartedAt?.let { it.elapsedNow() < MAX_AGE } != true) refresh()
        return counts[id]
    }

    /**
     * Runs at most one listing at a time. Otherwise a slow listing that started earlier could replace the counts of a
     * later one with older values.
     */
    private suspend fun refresh() {
        // Set before the read, so that polls arriving during it use the cached counts.
        refreshStartedAt = clocks.mark()
        refreshing = true
        try {
            loadAll()
        } finally {
            refreshing = false
        }
    }

    private suspend fun loadAll() {
        val listed = state.listAll(Keys.TASK_COUNTS)
        if (listed !is Outcome.Ok) return
        val latest = HashMap<String, TaskCountRecord>()
        for (entry in listed.value.entries) {
            val record = Records.readOrNull(entry.key, entry.data, TaskCountRecord::decode) ?: continue
            latest[entry.key.removePrefix(Keys.TASK_COUNTS)] = record
        }
        counts = latest
    }

    private companion object {
        val MAX_AGE = 3.seconds
    }
}
