package topazvale.api

import topazvale.model.JobStatus
import topazvale.state.Outcome
import topazvale.state.StateService
import topazvale.store.JobRecords
import topazvale.store.Keys
import topazvale.store.Records

/** The final states of jobs. They never change, so that those read most recently are kept in memory. */
internal class FinalStates(private val state: StateService) {
    private val recent = object : LinkedHashMap<String, JobStatus>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, JobStatus>) = size > MOST_KEPT
    }

    /** The final state as far as it is in memory. */
    fun known(id: String): JobStatus? = recent[id]

    /** The final state by the state service; gone for a job that is not over. */
    suspend fun read(id: String): Outcome<JobStatus> = when (val found = state.get(Keys.final(id))) {
        is Outcome.Ok -> {
            val status = Records.readOrNull(found.value.key, found.value.data, JobRecords::decodeFinal)
            if (status != null) recent[id] = status
            status?.let { Outcome.Ok(it) } ?: Outcome.Unknown
        }

        is Outcome.Failure -> found
    }

    private companion object {
        const val MOST_KEPT = 4096
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
