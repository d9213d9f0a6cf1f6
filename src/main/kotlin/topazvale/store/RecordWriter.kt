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
 * Writes the leader's records to the state service, so that they become what its memory has.
 *
 * Each transaction depends on the leader key ([fence]), so that a former leader's late ones fail, and on the version of
 * every key it touches, so that this leader's own late ones, given up and then overtaken, fail too. After a transaction
 * of unknown outcome the versions are read again and the wanted values written again.
 *
 * What something waits for is [put] and written at once; the rest is put [putDeferred] and written as spare changes
 * allow, and what is only looked at ([putBackground]) when there is nothing else. Of a key that changes often only its
 * state at the time of writing is written.
 *
 * [flush], [flushDeferred] and [finalizeJob] are called by the write loop alone, one at a time.
 */
@Suppress("TooManyFunctions") // Few lines each; what can stand alone is in WriteQueue and TransactionLimits.
class RecordWriter(private val state: StateService, private val fence: Condition, opsLimit: Int) {
    private class Cell(var version: Long, var ticket: Long, var content: Content?)

    private class Sent(val change: Change, val cell: Cell) {
        val ticket = cell.ticket
    }

    private val log = LoggerFactory.getLogger(RecordWriter::class.java)
    private val cells = HashMap<String, Cell>()
    private val queue = WriteQueue()
    private val limits = TransactionLimits(opsLimit)

    /** The token of the term in which it writes. */
    val term: Long get() = fence.version

    /** Whether something waits to be written at once. */
    val hasUrgentWrites: Boolean get() = queue.urgentKeys.isNotEmpty()

    /** Whether what was put with this ticket is in the state service. */
    fun isDurable(ticket: Long): Boolean = queue.isSettled(ticket)

    /** The key is in the state service with this version. */
    fun loadVersion(key: String, version: Long) {
        cells[key] = Cell(version, 0, null)
    }

    /** To be written at once; the ticket tells by [isDurable] when it has been. */
    fun put(key: String, content: Content): Long {
        val ticket = want(key, content)
        queue.addUrgent(key, ticket)
        return ticket
    }

    /** To be written when there is time for it. */
    fun putDeferred(key: String, content: Content) {
        want(key, content)
        queue.addSpare(key)
    }

    /** To be written when nothing else is left to write: for what is only looked at. */
    fun putBackground(key: String, content: Content) {
        want(key, content)
        queue.addIdle(key)
    }

    /** Removes a key when there is time for it; one that was never written costs nothing. */
    fun delete(key: String) {
        if (key in cells) putDeferred(key) { null }
    }

    /** Writes until nothing urgent is left to write. */
    suspend fun flush() {
        while (hasUrgentWrites) write(queue.urgentKeys)
        queue.settle()
    }

    /** Writes one transaction of what can wait. */
    suspend fun flushDeferred() {
        val keys = queue.spareKeys
        if (keys.isNotEmpty()) write(keys)
    }

    /** Commits the end of a job together with the removal of [keys]; fails where a condition beyond the fence does. */
    suspend fun finalizeJob(conditions: List<Condition>, changes: List<Change>, keys: List<String>): Commit {
        val stored = keys.filter { (cells[it]?.version ?: 0) > 0 }
        val removed = stored.take((limits.mostChanges - changes.size).coerceAtLeast(0))
        val rest = stored.drop(removed.size)
        val deletions = removed.map { Change.Delete(it) }
        val unchanged = removed.map { Condition(it, cells.getValue(it).version) }
        val commit = state.commit(conditions + fence + unchanged, changes + deletions, urgent = true)
        when (commit) {
            is Commit.Done -> {
                (keys - rest.toSet()).forEach(::forget)
                // A large job's keys are more than one transaction takes. Those that stay say nothing of any job.
                rest.forEach(::delete)
            }

            is Commit.Invalid -> narrow(changes + deletions)

            is Commit.Failed -> failed(commit)

            else -> removed.forEach { reread(it) }
        }
        queue.settle()
        return commit
    }

    private fun want(key: String, content: Content): Long {
        val cell = cells.getOrPut(key) { Cell(0, 0, null) }
        cell.content = content
        cell.ticket = queue.issueTicket()
        return cell.ticket
    }

    private fun forget(key: String) {
        cells.remove(key)
        queue.remove(key)
    }

    private suspend fun write(keys: Collection<String>) {
        val batch = limits.batch(keys, ::change)
        val sent = batch.map { Sent(it, cells.getValue(it.key)) }
        val conditions = sent.map { Condition(it.change.key, it.cell.version) } + fence
        when (val commit = state.commit(conditions, batch, urgent = true)) {
            is Commit.Done -> sent.forEach { written(it, commit.revision) }
            is Commit.Failed -> failed(commit)
            is Commit.Unknown -> for (change in batch) reread(change.key)
            is Commit.Invalid -> narrow(batch)
            is Commit.Refused, is Commit.LeaseGone -> delay(RETRY)
        }
        queue.settle()
    }

    private fun change(key: String): Change {
        val data = cells.getValue(key).content?.invoke()
        return if (data == null) Change.Delete(key) else Change.Put(key, data)
    }

    private fun written(sent: Sent, revision: Long) {
        val key = sent.change.key
        val cell = sent.cell
        cell.version = if (sent.change is Change.Delete) 0 else revision
        if (cell.ticket != sent.ticket) return queue.writtenUpTo(key, cell.ticket)
        queue.remove(key)
        cell.content = null
        if (cell.version == 0L) cells.remove(key)
    }

    private suspend fun failed(commit: Commit.Failed) {
        if (fence.key in commit.keys) throw DeposedException()
        for (key in commit.keys) reread(key)
    }

    /** The same transaction would be refused for ever, and what waits behind it with it. */
    private fun narrow(batch: List<Change>) {
        if (batch.size > 1) {
            limits.narrow(batch.size)
            log.warn(
                "a transaction of {} changes is refused as invalid; now at most {}",
                batch.size,
                limits.mostChanges,
            )
            return
        }
        // A single value that is not taken holds up only what waits for it. It is written again when it changes, not as
        // it is: without that it would be sent for ever, and nothing behind it would ever count as written.
        val key = batch.single().key
        log.error("the state service does not take the value of {}", key)
        queue.setAside(key)
    }

    /** Learns the version of a key after a transaction that failed or whose outcome is unknown. */
    private suspend fun reread(key: String) {
        val cell = cells[key] ?: return
        var version = storedVersion(key)
        while (version == null) {
            delay(RETRY)
            version = storedVersion(key)
        }
        cell.version = version
    }

    /** 0 for a key that does not exist; null without an answer. */
    private suspend fun storedVersion(key: String): Long? = when (val found = state.get(key)) {
        is Outcome.Ok -> found.value.version
        is Outcome.Gone -> 0
        is Outcome.Refused, is Outcome.Unknown -> null
    }

    private companion object {
        val RETRY = 150.milliseconds
    }
}
