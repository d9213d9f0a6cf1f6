package topazvale.reconcile

import topazvale.store.Keys
import topazvale.store.RecordWriter
import topazvale.store.Records
import topazvale.store.StartRecords
import topazvale.store.StartRow

/** Starts that are one record. */
class StartBatch(val key: String) {
    val live = LinkedHashSet<PlacedTask>()

    /** As recorded: what is still there, by machine, job and attempt. */
    fun rows(): List<StartRow> = live.groupBy {
        Triple(it.machine, it.start.task.job, it.start.attempt)
    }.map { (of, starts) ->
        StartRow(of.first.host, starts.first().session, of.second, of.third, starts.map { it.start.task.index })
    }
}

/**
 * The write-ahead record of starts. All starts of a plan go into one value, so that a plan costs one change however
 * many machines it concerns; the record goes when the last of them is gone.
 *
 * A record may therefore still name starts that have ended. Of a task's recorded starts only the one with the highest
 * attempt counts: it was given only once all others were proven to be gone. So it is with whole gangs.
 */
class StartLog(private val records: RecordWriter, private val term: Long, private val valueBytes: Int) {
    private var written = 0L

    /** Puts the starts of a plan on record. */
    fun record(placed: List<PlacedTask>) {
        var open = ArrayList<PlacedTask>()
        var bytes = 0
        val space = valueBytes - HEAD_BYTES
        val rows = placed.groupBy { it.machine to it.start.task.job }.flatMap { (of, starts) ->
            starts.chunked(StartRow.maxTasks(of.first.host, of.second, space)).map { of to it }
        }
        for ((of, starts) in rows) {
            val row = StartRow(of.first.host, 0, of.second, 0, starts.map { it.start.task.index }).estimatedBytes
            if (open.isNotEmpty() && bytes + row > space) {
                write(open)
                open = ArrayList()
                bytes = 0
            }
            open += starts
            bytes += row
        }
        if (open.isNotEmpty()) write(open)
    }

    private fun write(starts: List<PlacedTask>) {
        val batch = StartBatch(Keys.starts("$term-${++written}"))
        batch.live += starts
        val ticket = records.put(batch.key) { content(batch) }
        for (placed in starts) {
            placed.batch = batch
            placed.ticket = ticket
        }
    }

    /** A former leader's start: on record already. */
    fun loadRecorded(placed: PlacedTask, batch: StartBatch) {
        placed.batch = batch
        placed.ticket = 0
        batch.live += placed
    }

    /** [reported]: its worker told of its exit, so that the next leader is soon told as well. */
    fun startEnded(placed: PlacedTask, reported: Boolean) {
        val batch = placed.batch ?: return
        placed.batch = null
        batch.live -= placed
        when {
            batch.live.isEmpty() -> records.delete(batch.key)

            // One that was written when values could be larger stays as it is: it may name starts that are over.
            !reported && Records.size(content(batch)) <= valueBytes -> records.putDeferred(batch.key) { content(batch) }
        }
    }

    private fun content(batch: StartBatch) = StartRecords.encode(batch.rows())

    private companion object {
        const val HEAD_BYTES = 256
    }
}
