package topazvale.store

/** Starts on one machine that were recorded together, before their commands were sent. */
data class StartRow(val host: String, val session: Long, val job: String, val attempt: Long, val tasks: List<Int>) {
    /** The approximate size of the row in text form. */
    val estimatedBytes: Int get() = ROW_BYTES + host.length + job.length + tasks.size * TASK_BYTES

    companion object {
        private const val ROW_BYTES = 56
        private const val TASK_BYTES = 7

        /** The number of tasks of a job that a row for the host may name within [bytes]; at least one. */
        fun maxTasks(host: String, job: String, bytes: Int) =
            ((bytes - ROW_BYTES - host.length - job.length) / TASK_BYTES).coerceAtLeast(1)
    }
}

/**
 * The starts of one plan are stored as one value, however many machines they go to, because the rate limit on changes
 * is the scarcest resource.
 */
object StartRecords {
    /** Encodes starts as they are stored. */
    fun encode(rows: List<StartRow>): Map<String, Any?> =
        mapOf("starts" to rows.map { listOf(it.host, it.session, it.job, it.attempt, it.tasks) })

    /** Decodes stored starts; throws for data of any other form. */
    fun decode(data: Map<String, Any?>): List<StartRow> = (data["starts"] as List<*>).map { row ->
        val fields = (row as List<*>).iterator()
        StartRow(
            host = fields.next() as String,
            session = fields.next() as Long,
            job = fields.next() as String,
            attempt = fields.next() as Long,
            tasks = (fields.next() as List<*>).map { (it as Long).toInt() },
        )
    }
}
