package topazvale.api

import topazvale.model.JobStatus
import topazvale.state.Outcome
import topazvale.state.StateService
import topazvale.store.JobRecords
import topazvale.store.Keys
import topazvale.store.Records

/** Final states of jobs. They never change, so the most recently read ones are cached in memory. */
internal class FinalStates(private val state: StateService) {
    private val cache = object : LinkedHashMap<String, JobStatus>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, JobStatus>) = size > MAX_CACHED
    }

    /** The cached final state, or null. */
    fun cached(id: String): JobStatus? = cache[id]

    /** Reads the final state from the state service; [Outcome.Gone] for a job that has not finished. */
    suspend fun fetch(id: String): Outcome<JobStatus> = when (val result = state.get(Keys.final(id))) {
        is Outcome.Ok -> {
            val status = Records.readOrNull(result.value.key, result.value.data, JobRecords::decodeFinal)
            if (status != null) cache[id] = status
            status?.let { Outcome.Ok(it) } ?: Outcome.Unknown
        }

        is Outcome.Failure -> result
    }

    private companion object {
        const val MAX_CACHED = 4096
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
