package topazvale.store

/**
 * The keys of the records in the state service.
 *
 * A job is stored under [job] until it has finished, and under [final] from then on. One transaction moves it, so that
 * a reader which looks first under [job] and then under [final] always finds it.
 */
object Keys {
    const val LEADER = "leader"
    const val JOBS = "j/"
    const val GROUPS = "m/"
    const val STARTS = "s/"
    const val CHUNKS = "c/"
    const val TASK_COUNTS = "p/"

    /** The key of a job that has not finished. */
    fun job(id: String) = JOBS + id

    /** The key of the final state of a finished job. */
    fun final(id: String) = "f/$id"

    /** The key that holds which of [CHUNK_TASKS] tasks are done. Chunks avoid rewriting a large job as a whole. */
    fun chunk(id: String, chunk: Int) = "$CHUNKS$id/$chunk"

    /** The key of the task counts that polls return. */
    fun taskCounts(id: String) = TASK_COUNTS + id

    /** The key of a group of machines that were rented together. */
    fun group(name: String) = GROUPS + name

    /** The key of a batch of starts that were recorded together. */
    fun starts(name: String) = STARTS + name

    const val CHUNK_TASKS = 8192
}
