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
 * Task counts for polls. They are only looked at and may lag, so that those of all jobs are read together now and then:
 * a read for each poll would double what polls ask of the state service.
 */
class TaskCounts(private val state: StateService, private val clocks: Clocks) {
    private var counts: Map<String, TaskCountRecord> = emptyMap()
    private var read: ComparableTimeMark? = null
    private var reading = false

    /** The counts of a job, as last read; null where there are none. */
    suspend fun of(id: String): TaskCountRecord? {
        if (!reading && read?.let { it.elapsedNow() < FRESH } != true) refresh()
        return counts[id]
    }

    /** One listing at a time, or one begun earlier and slow page by page would replace a later one's counts. */
    private suspend fun refresh() {
        // Marked first: whoever asks meanwhile takes what is here.
        read = clocks.mark()
        reading = true
        try {
            readAll()
        } finally {
            reading = false
        }
    }

    private suspend fun readAll() {
        val found = state.listAll(Keys.TASK_COUNTS)
        if (found !is Outcome.Ok) return
        val fresh = HashMap<String, TaskCountRecord>()
        for (entry in found.value.entries) {
            val record = Records.readOrNull(entry.key, entry.data, TaskCountRecord::decode) ?: continue
            fresh[entry.key.removePrefix(Keys.TASK_COUNTS)] = record
        }
        counts = fresh
    }

    private companion object {
        val FRESH = 3.seconds
    }
}
