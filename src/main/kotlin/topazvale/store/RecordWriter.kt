package topazvale.store

import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import topazvale.state.Commit
import topazvale.state.Outcome
import topazvale.state.StateService
import topazvale.wire.Change
import topazvale.wire.Condition
import kotlin.time.Duration.Companion.milliseconds

/** Another leader has taken over: nothing this one still wants to write will count. */
class DeposedException : Exception("the leader key has changed")

/** What a key is to hold, worked out when it is written; null: it is to go. */
typealias Content = () -> Map<String, Any?>?

/**
 * Keeps the leader's keys in the state service as its memory has them.
 *
 * Each transaction depends on the leader key, so that a former leader's late ones fail, and on the version of every
 * key it touches, so that this leader's own late ones, given up and then overtaken, fail too. After a transaction of
 * unknown outcome the versions are read again and the wanted values written again.
 *
 * What something waits for is [put] and written at once; the rest is put [later] and written as spare changes allow,
 * and what is only looked at when there is nothing else. Of a key that changes often only its state at the time of writing is written, and kept in memory no longer.
 */
class RecordWriter(private val state: StateService, private val fence: Condition, private val opsLimit: Int) {
    private val log = LoggerFactory.getLogger(RecordWriter::class.java)

    private class Cell(var version: Long, var ticket: Long, var content: Content?)

    private val cells = HashMap<String, Cell>()

    /** Keys not yet written as wanted, with the ticket from which on they have been waiting. */
    private val urgent = LinkedHashMap<String, Long>()
    private val spare = LinkedHashSet<String>()
    private val idle = LinkedHashSet<String>()

    /** Keys whose values the state service does not take, with the ticket for which that was so. */
    private val refused = HashMap<String, Long>()
    private var issued = 0L

    /** How much goes into a transaction; less once the service has found one too large. */
    private var most = opsLimit
    private var mostBytes = BYTES

    /** All that was put with tickets up to this one is in the state service, but for what is [refused]. */
    private var settled = 0L

    /** Whether what was put with this ticket is in the state service. */
    fun isDurable(ticket: Long): Boolean = ticket <= settled && refused.values.none { it == ticket }

    val waiting: Boolean get() = urgent.isNotEmpty()

    fun load(key: String, version: Long) {
        cells[key] = Cell(version, 0, null)
    }

    fun put(key: String, content: Content): Long {
        val ticket = want(key, content)
        spare -= key
        idle -= key
        refused -= key
        urgent.putIfAbsent(key, ticket)
        return ticket
    }

    fun later(key: String, content: Content) {
        want(key, content)
        if (key !in urgent) spare += key
    }

    /** For what is only looked at. */
    fun last(key: String, content: Content) {
        want(key, content)
        if (key !in urgent) idle += key
    }

    /** Removes a key when there is time for it; one that was never written costs nothing. */
    fun delete(key: String) {
        if (key !in cells) return
        later(key) { null }
    }

    private fun want(key: String, content: Content): Long {
        val cell = cells.getOrPut(key) { Cell(0, 0, null) }
        cell.content = content
        cell.ticket = ++issued
        return cell.ticket
    }

    /** Writes until nothing urgent is left to write. One call at a time, of this and of [flushSpare] and [finish]. */
    suspend fun flush() {
        while (urgent.isNotEmpty()) write(urgent.keys)
        advance()
    }

    /** Writes one transaction of what can wait. */
    suspend fun flushSpare() {
        val keys = spare.ifEmpty { idle }
        if (keys.isNotEmpty()) write(keys)
    }

    private suspend fun write(keys: Collection<String>) {
        val batch = batch(keys)
        val sent = batch.map { change -> change.key to cells.getValue(change.key).ticket }
        val conditions = batch.map { Condition(it.key, cells.getValue(it.key).version) } + fence
        when (val commit = state.commit(conditions, batch, urgent = true)) {
            is Commit.Done -> for ((i, change) in batch.withIndex()) settle(change, sent[i].second, commit.revision)

            is Commit.Failed -> {
                if (fence.key in commit.keys) throw DeposedException()
                for (key in commit.keys) reread(key)
            }

            is Commit.Unknown -> for (change in batch) reread(change.key)

            is Commit.Invalid -> narrow(batch)

            is Commit.Refused, is Commit.LeaseGone -> delay(RETRY)
        }
        advance()
    }

    /** The same transaction would be refused for ever, and what waits behind it with it. */
    private suspend fun narrow(batch: List<Change>) {
        if (batch.size > 1) {
            most = batch.size / 2
            mostBytes = maxOf(mostBytes / 2, LEAST_BYTES)
            log.warn("a transaction of {} changes is refused as invalid; now at most {}", batch.size, most)
            return
        }
        setAside(batch.single().key)
    }

    /**
     * A single value that is not taken holds up only what waits for it. It is written again when it changes, not as it
     * is: without that it would be sent for ever, and nothing behind it would ever count as written.
     */
    private fun setAside(key: String) {
        log.error("the state service does not take the value of {}", key)
        spare -= key
        idle -= key
        urgent.remove(key)?.let { refused[key] = it }
    }

    /** Commits the end of a job together with the removal of [keys]; fails where a condition beyond the fence does. */
    suspend fun finish(conditions: List<Condition>, changes: List<Change>, keys: List<String>): Commit {
        val (known, rest) = keys.mapNotNull { key -> cells[key]?.takeIf { it.version > 0 }?.let { key to it } }
            .let { all -> (most - changes.size).coerceAtLeast(0).let { all.take(it) to all.drop(it) } }
        val commit = state.commit(
            conditions + fence + known.map { (key, cell) -> Condition(key, cell.version) },
            changes + known.map { (key, _) -> Change.Delete(key) },
            urgent = true,
        )
        when (commit) {
            is Commit.Done -> {
                for (key in keys - rest.map { it.first }.toSet()) {
                    cells.remove(key)
                    forget(key)
                }
                // A large job's keys are more than one transaction takes. Those that stay say nothing of any job.
                for ((key, _) in rest) delete(key)
            }

            is Commit.Invalid -> narrow(changes + known.map { Change.Delete(it.first) })

            is Commit.Failed -> {
                if (fence.key in commit.keys) throw DeposedException()
                for (key in commit.keys) if (key in cells) reread(key)
            }

            else -> for ((key, _) in known) reread(key)
        }
        advance()
        return commit
    }

    private fun settle(change: Change, ticket: Long, revision: Long) {
        val key = change.key
        val cell = cells.getValue(key)
        cell.version = if (change is Change.Delete) 0 else revision
        if (cell.ticket == ticket) {
            forget(key)
            cell.content = null
            if (cell.version == 0L) cells.remove(key)
        } else if (key in urgent) {
            urgent[key] = cell.ticket
        }
    }

    private fun forget(key: String) {
        urgent.remove(key)
        spare.remove(key)
        idle.remove(key)
        refused.remove(key)
    }

    private fun advance() {
        settled = urgent.values.minOrNull()?.minus(1) ?: issued
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

    private fun batch(keys: Collection<String>): List<Change> {
        val changes = ArrayList<Change>()
        var bytes = 0
        for (key in keys) {
            if (changes.size == most) break
            val data = cells.getValue(key).content?.invoke()
            bytes += key.length + Records.size(data)
            if (changes.isNotEmpty() && bytes > mostBytes) break
            changes += if (data == null) Change.Delete(key) else Change.Put(key, data)
        }
        return changes
    }

    private companion object {
        const val BYTES = 48 * 1024
        const val LEAST_BYTES = 1024
        val RETRY = 150.milliseconds
    }
}
