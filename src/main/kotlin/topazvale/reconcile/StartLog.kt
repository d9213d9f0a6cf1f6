package topazvale.reconcile

import topazvale.store.Keys
import topazvale.store.RecordWriter
import topazvale.store.Records
import topazvale.store.StartRecords
import topazvale.store.StartRow

/** Starts that share one record. */
class StartBatch(val key: String) {
    /** The starts whose tasks are not confirmed absent. */
    val live = LinkedHashSet<PlacedTask>()

    /** The rows of the record: the live starts, grouped by machine, job and attempt. */
    fun rows(): List<StartRow> = live.groupBy {
        Triple(it.machine, it.start.task.job, it.start.attempt)
    }.map { (group, starts) ->
        StartRow(
            group.first.host,
            starts.first().session,
            group.second,
            group.third,
            starts.map { it.start.task.index },
        )
    }
}

/**
 * The write-ahead record of starts. All starts of a plan go into one value, or as few as the value limit allows, so a
 * plan costs one change however many machines it concerns. A record is deleted once all its tasks are confirmed absent.
 *
 * A record may therefore still name starts that have ended. Of a task's recorded starts only the one with the highest
 * attempt is valid, because it was created only once all others were confirmed absent. The same holds for whole gangs.
 */
class StartLog(private val records: RecordWriter, private val term: Long, private val valueBytes: Int) {
    private var batchCount = 0L

    /** Records the starts of a plan. */
    fun record(placed: List<PlacedTask>) {
        var pending = ArrayList<PlacedTask>()
        var bytes = 0
        val rowSpace = valueBytes - HEADER_BYTES
        val rows = placed.groupBy { it.machine to it.start.task.job }.flatMap { (group, starts) ->
            starts.chunked(StartRow.maxTasks(group.first.host, group.second, rowSpace)).map { group to it }
        }
        for ((group, starts) in rows) {
            val row = StartRow(group.first.host, 0, group.second, 0, starts.map { it.start.task.index }).estimatedBytes
            if (pending.isNotEmpty() && bytes + row > rowSpace) {
                write(pending)
                pending = ArrayList()
                bytes = 0
            }
            pending += starts
            bytes += row
        }
        if (pending.isNotEmpty()) write(pending)
    }

    private fun write(starts: List<PlacedTask>) {
        val batch = StartBatch(Keys.starts("$term-${++batchCount}"))
        batch.live += starts
        val ticket = records.put(batch.key) { content(batch) }
        for (placed in starts) {
            placed.batch = batch
            placed.ticket = ticket
        }
    }

    /** Registers a start that a former leader recorded. */
    fun loadRecorded(placed: PlacedTask, batch: StartBatch) {
        placed.batch = batch
        placed.ticket = 0
        batch.live += placed
    }

    /**
     * Removes a start from its record, as its task is confirmed absent. The record is not rewritten if the worker
     * [reported] the exit, because the next leader soon learns the same from the worker.
     */
    fun startEnded(placed: PlacedTask, reported: Boolean) {
        val batch = placed.batch ?: return
        placed.batch = null
        batch.live -= placed
        when {
            batch.live.isEmpty() -> records.delete(batch.key)

            // A record written under a larger value limit is not rewritten: it may name starts that have ended.
            !reported && Records.size(content(batch)) <= valueBytes -> records.putDeferred(batch.key) { content(batch) }
        }
    }

    private fun content(batch: StartBatch) = StartRecords.encode(batch.rows())

    private companion object {
        const val HEADER_BYTES = 256
    }
}
