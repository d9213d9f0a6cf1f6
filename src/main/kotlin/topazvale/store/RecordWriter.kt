package topazvale.store

import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import topazvale.state.Commit
import topazvale.state.Outcome
import topazvale.state.StateService
import topazvale.wire.Change
import topazvale.wire.Condition
import kotlin.time.Duration.Companion.milliseconds

/** Another leader has taken over: the state service rejects every further write of this one. */
class DeposedException : Exception("the leader key has changed")

/** Computes the content of a key when the key is written; null deletes the key. */
typealias ContentSupplier = () -> Map<String, Any?>?

/**
 * Writes the leader's records to the state service, so that the stored records follow the leader's memory.
 *
 * Each transaction is a compare-and-set on the leader key and on every key it changes. The version of the leader key
 * ([fence]) is a fencing token: it makes delayed transactions of a former leader fail. The versions of the changed keys
 * (optimistic concurrency) make this leader's own delayed transactions fail, which it abandoned and then overtook with
 * newer ones. After a transaction with an unknown outcome, the writer reads the versions again and writes the current
 * content again.
 *
 * Urgent writes ([put]) are those that another action waits for; they are made at once. Deferred writes
 * ([putDeferred]) are made as the rate limit on changes allows. Background writes ([putBackground]), whose values are
 * only displayed, are made when no other write is pending. A key that changes often is written only with its content
 * at the time of writing.
 *
 * Only the write loop calls [flush], [flushDeferred] and [finalizeJob], one at a time.
 */
@Suppress("TooManyFunctions") // They are short; WriteQueue and TransactionLimits hold what is separable.
class RecordWriter(private val state: StateService, private val fence: Condition, opsLimit: Int) {
    /** The stored version of a key, the ticket of its latest content, and that content while its write is pending. */
    private class KeyState(var version: Long, var ticket: Long, var content: ContentSupplier?)

    /** A change that has been sent, with the ticket that its key had at that time. */
    private class SentChange(val change: Change, val keyState: KeyState) {
        val ticket = keyState.ticket
    }

    private val log = LoggerFactory.getLogger(RecordWriter::class.java)
    private val keyStates = HashMap<String, KeyState>()
    private val queue = WriteQueue()
    private val limits = TransactionLimits(opsLimit)

    /** The fencing token of the term in which this writer writes. */
    val term: Long get() = fence.version

    /**
     * The revision of the latest transaction of this writer that succeeded. The leader key was unchanged at that
     * revision, so the tokens of all later leaders are higher.
     */
    var confirmedRevision: Long = fence.version
        private set

    /** Whether an urgent write is pending. */
    val hasUrgentWrites: Boolean get() = queue.urgentKeys.isNotEmpty()

    /** Whether the write with this ticket is in the state service. */
    fun isDurable(ticket: Long): Boolean = queue.isDurable(ticket)

    /** Loads the version with which the key is stored in the state service. */
    fun loadVersion(key: String, version: Long) {
        keyStates[key] = KeyState(version, 0, null)
    }

    /** Requests an urgent write and returns its ticket for [isDurable]. */
    fun put(key: String, content: ContentSupplier): Long {
        val ticket = updateContent(key, content)
        queue.addUrgent(key, ticket)
        return ticket
    }

    /** Requests a deferred write, which is made as capacity allows. */
    fun putDeferred(key: String, content: ContentSupplier) {
        updateContent(key, content)
        queue.addDeferred(key)
    }

    /**
     * Requests a background write, which is made when no other write is pending: for values that are only displayed.
     */
    fun putBackground(key: String, content: ContentSupplier) {
        updateContent(key, content)
        queue.addBackground(key)
    }

    /** Requests the deferred deletion of a key. A key that was never written needs no transaction. */
    fun delete(key: String) {
        if (key in keyStates) putDeferred(key) { null }
    }

    /** Writes until no urgent write is pending. */
    suspend fun flush() {
        while (hasUrgentWrites) writeBatch(queue.urgentKeys)
        queue.updateDurable()
    }

    /** Writes one transaction of deferred writes, or of background writes if none is deferred. */
    suspend fun flushDeferred() {
        val keys = queue.deferredKeys
        if (keys.isNotEmpty()) writeBatch(keys)
    }

    /**
     * Commits the end of a job together with the deletion of [keys]. The commit fails if one of the [conditions] does
     * not hold, which are checked in addition to the fence.
     */
    suspend fun finalizeJob(conditions: List<Condition>, changes: List<Change>, keys: List<String>): Commit {
        val storedKeys = keys.filter { (keyStates[it]?.version ?: 0) > 0 }
        val deletedKeys = storedKeys.take((limits.maxChanges - changes.size).coerceAtLeast(0))
        val remainingKeys = storedKeys.drop(deletedKeys.size)
        val deletions = deletedKeys.map { Change.Delete(it) }
        val expectedVersions = deletedKeys.map { Condition(it, keyStates.getValue(it).version) }
        val commit = state.commit(conditions + fence + expectedVersions, changes + deletions, urgent = true)
        when (commit) {
            is Commit.Done -> {
                confirmedRevision = commit.revision
                (keys - remainingKeys.toSet()).forEach(::forget)
                // A large job has more keys than one transaction may change. The remaining keys are deleted later;
                // until then they have no meaning, as their job has ended.
                remainingKeys.forEach(::delete)
            }

            is Commit.Invalid -> shrinkOrQuarantine(changes + deletions)

            is Commit.Failed -> resolveConflict(commit)

            else -> deletedKeys.forEach { refreshVersion(it) }
        }
        queue.updateDurable()
        return commit
    }

    private fun updateContent(key: String, content: ContentSupplier): Long {
        val keyState = keyStates.getOrPut(key) { KeyState(0, 0, null) }
        keyState.content = content
        keyState.ticket = queue.issueTicket()
        return keyState.ticket
    }

    private fun forget(key: String) {
        keyStates.remove(key)
        queue.remove(key)
    }

    private suspend fun writeBatch(keys: Collection<String>) {
        val batch = limits.batch(keys, ::currentChange)
        val sentChanges = batch.map { SentChange(it, keyStates.getValue(it.key)) }
        val conditions = sentChanges.map { Condition(it.change.key, it.keyState.version) } + fence
        when (val commit = state.commit(conditions, batch, urgent = true)) {
            is Commit.Done -> {
                confirmedRevision = commit.revision
                sentChanges.forEach { recordWritten(it, commit.revision) }
            }

            is Commit.Failed -> resolveConflict(commit)

            is Commit.Unknown -> for (change in batch) refreshVersion(change.key)

            is Commit.Invalid -> shrinkOrQuarantine(batch)

            is Commit.Refused, is Commit.LeaseGone -> delay(RETRY_DELAY)
        }
        queue.updateDurable()
    }

    private fun currentChange(key: String): Change {
        val data = keyStates.getValue(key).content?.invoke()
        return if (data == null) Change.Delete(key) else Change.Put(key, data)
    }

    private fun recordWritten(sentChange: SentChange, revision: Long) {
        val key = sentChange.change.key
        val keyState = sentChange.keyState
        keyState.version = if (sentChange.change is Change.Delete) 0 else revision
        if (keyState.ticket != sentChange.ticket) return queue.recordOlderWrite(key, keyState.ticket)
        queue.remove(key)
        keyState.content = null
        if (keyState.version == 0L) keyStates.remove(key)
    }

    private suspend fun resolveConflict(commit: Commit.Failed) {
        if (fence.key in commit.keys) throw DeposedException()
        for (key in commit.keys) refreshVersion(key)
    }

    /**
     * Lowers the transaction limits, or quarantines the value if the transaction has only one change. The state service
     * would reject the same transaction forever, which would also block the writes behind it.
     */
    private fun shrinkOrQuarantine(batch: List<Change>) {
        if (batch.size > 1) {
            limits.lower(batch.size)
            log.warn(
                "the state service rejects a transaction of {} changes as invalid; the limit is now {} changes",
                batch.size,
                limits.maxChanges,
            )
            return
        }
        // A quarantined value delays only what waits for it. It is not sent again until it changes: otherwise it would
        // be sent forever, and no write behind it would ever count as durable.
        val key = batch.single().key
        log.error("the state service rejects the value of {}; it is written again only after it has changed", key)
        queue.quarantine(key)
    }

    /** Reads the stored version of a key after a transaction that failed or whose outcome is unknown. */
    private suspend fun refreshVersion(key: String) {
        val keyState = keyStates[key] ?: return
        var version = readVersion(key)
        while (version == null) {
            delay(RETRY_DELAY)
            version = readVersion(key)
        }
        keyState.version = version
    }

    /** Returns 0 for a key that does not exist, and null if there is no usable response. */
    private suspend fun readVersion(key: String): Long? = when (val outcome = state.get(key)) {
        is Outcome.Ok -> outcome.value.version
        is Outcome.Gone -> 0
        is Outcome.Refused, is Outcome.Unknown -> null
    }

    private companion object {
        val RETRY_DELAY = 150.milliseconds
    }
}
