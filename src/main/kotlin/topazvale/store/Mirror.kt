package topazvale.store

import kotlinx.coroutines.delay
import topazvale.state.Commit
import topazvale.state.Outcome
import topazvale.state.StateService
import topazvale.wire.Change
import topazvale.wire.Condition
import kotlin.time.Duration.Companion.milliseconds

/** Another leader has taken over: nothing this one still wants to write will count. */
class DeposedException : Exception("the leader key has changed")

/**
 * Keeps the leader's keys in the state service as its memory has them.
 *
 * Each transaction depends on the leader key, so that a former leader's late ones fail, and on the version of every
 * key it touches, so that this leader's own late ones, given up and then overtaken, fail too. After a transaction of
 * unknown outcome the versions are read again and the wanted values written again.
 */
class Mirror(private val state: StateService, private val fence: Condition, private val opsLimit: Int) {
    private class Cell(var data: Map<String, Any?>?, var version: Long, var ticket: Long)

    private val cells = HashMap<String, Cell>()

    /** Keys not yet written as wanted, with the ticket from which on they have been waiting. */
    private val dirty = LinkedHashMap<String, Long>()
    private var issued = 0L

    /** All changes with tickets up to this one are in the state service. */
    val durable: Long get() = dirty.values.minOrNull()?.minus(1) ?: issued

    fun load(key: String, data: Map<String, Any?>, version: Long) {
        cells[key] = Cell(data, version, 0)
    }

    fun put(key: String, data: Map<String, Any?>): Long = want(key, data)

    fun delete(key: String): Long = want(key, null)

    private fun want(key: String, data: Map<String, Any?>?): Long {
        val cell = cells.getOrPut(key) { Cell(null, 0, 0) }
        if (cell.data == data) return dirty[key] ?: 0
        cell.data = data
        cell.ticket = ++issued
        dirty.putIfAbsent(key, cell.ticket)
        return cell.ticket
    }

    /** Writes until nothing is left to write. One call at a time. */
    suspend fun flush() {
        while (dirty.isNotEmpty()) {
            val batch = batch()
            val sent = batch.associateWith { cells.getValue(it).ticket }
            val conditions = batch.map { Condition(it, cells.getValue(it).version) } + fence
            val changes = batch.map { key -> cells.getValue(key).data?.let { Change.Put(key, it) } ?: Change.Delete(key) }
            when (val commit = state.commit(conditions, changes, urgent = true)) {
                is Commit.Done -> for ((key, ticket) in sent) settle(key, ticket, commit.revision)
                is Commit.Failed -> {
                    if (fence.key in commit.keys) throw DeposedException()
                    for (key in commit.keys) reread(key)
                }
                is Commit.Unknown -> for (key in batch) reread(key)
                is Commit.Refused, is Commit.LeaseGone -> delay(RETRY)
            }
        }
    }

    /** Commits the end of a job together with the removal of [keys]; false where a condition beyond the fence failed. */
    suspend fun finish(conditions: List<Condition>, changes: List<Change>, keys: List<String>): Commit {
        val known = keys.mapNotNull { key -> cells[key]?.takeIf { it.version > 0 }?.let { key to it } }
        val commit = state.commit(
            conditions + fence + known.map { (key, cell) -> Condition(key, cell.version) },
            changes + known.map { (key, _) -> Change.Delete(key) },
            urgent = true,
        )
        when (commit) {
            is Commit.Done -> for (key in keys) {
                cells.remove(key)
                dirty.remove(key)
            }
            is Commit.Failed -> {
                if (fence.key in commit.keys) throw DeposedException()
                for (key in commit.keys) if (key in cells) reread(key)
            }
            else -> for ((key, _) in known) reread(key)
        }
        return commit
    }

    private fun settle(key: String, ticket: Long, revision: Long) {
        val cell = cells.getValue(key)
        val deleted = cell.data == null
        cell.version = if (deleted && cell.ticket == ticket) 0 else revision
        if (cell.ticket == ticket) {
            dirty.remove(key)
            if (deleted) cells.remove(key)
        } else {
            dirty[key] = cell.ticket
        }
    }

    private suspend fun reread(key: String) {
        while (true) {
            when (val found = state.get(key)) {
                is Outcome.Ok -> cells[key]?.version = found.value.version
                is Outcome.Gone -> cells[key]?.version = 0
                else -> {
                    delay(RETRY)
                    continue
                }
            }
            return
        }
    }

    private fun batch(): List<String> {
        val keys = ArrayList<String>()
        var bytes = 0
        for (key in dirty.keys) {
            bytes += key.length + size(cells.getValue(key).data)
            if (keys.isNotEmpty() && (keys.size == opsLimit || bytes > BYTES)) break
            keys += key
        }
        return keys
    }

    /** The limits count the text form. */
    private fun size(value: Any?): Int = when (value) {
        is String -> value.length + 3
        is Map<*, *> -> value.entries.sumOf { (k, v) -> (k as String).length + 4 + size(v) } + 2
        is List<*> -> value.sumOf { size(it) + 1 } + 2
        else -> 12
    }

    private companion object {
        const val BYTES = 48 * 1024
        val RETRY = 150.milliseconds
    }
}
