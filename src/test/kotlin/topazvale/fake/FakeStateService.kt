package topazvale.fake

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import topazvale.model.Clocks
import topazvale.state.Commit
import topazvale.state.Outcome
import topazvale.state.StateService
import topazvale.store.Records
import topazvale.wire.Cbor
import topazvale.wire.Change
import topazvale.wire.Condition
import topazvale.wire.Entry
import topazvale.wire.Event
import topazvale.wire.Events
import topazvale.wire.Page
import java.util.TreeMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The contents of the fake state service, shared by the clients of all controllers. */
class FakeStateStore(val clocks: Clocks = Clocks.SYSTEM) {
    class Grant(val ttl: Duration, var endsAt: ComparableTimeMark)

    class Value(val data: Map<String, Any?>, val version: Long, val lease: Long?)

    /** Limits of a transaction's changes and of a value's size. A larger commit is invalid; stored values remain. */
    var maxTransactionOps = Int.MAX_VALUE
    var maxValueBytes = Int.MAX_VALUE

    val values = TreeMap<String, Value>()
    private val grants = HashMap<Long, Grant>()
    private val history = ArrayList<Event>()
    private var changeSignal = CompletableDeferred<Unit>()
    private var lastGrant = 0L
    var revision = 0L
        private set

    /** The history is compacted up to this revision: a watch from an earlier revision gets the response "too old". */
    private var compactedRevision = 0L

    @Synchronized
    fun commit(conditions: List<Condition>, changes: List<Change>): Commit {
        expire()
        if (changes.any { it is Change.Put && it.lease != null && it.lease !in grants }) return Commit.LeaseGone
        if (changes.size > maxTransactionOps ||
            changes.any { it is Change.Put && Records.size(it.data) > maxValueBytes }
        ) {
            return Commit.Invalid
        }
        val failed = conditions.filter { (values[it.key]?.version ?: 0) != it.version }.map { it.key }
        if (failed.isNotEmpty()) return Commit.Failed(failed)
        apply(changes)
        return Commit.Done(revision)
    }

    private fun apply(changes: List<Change>) {
        revision++
        for (change in changes) {
            when (change) {
                // The round trip through CBOR gives whole numbers the type that the wire format returns.
                is Change.Put -> values[change.key] =
                    Value(Cbor.decodeMap(Cbor.encode(change.data)), revision, change.lease)

                is Change.Delete -> values.remove(change.key)
            }
            history += Event(change.key, values[change.key]?.data, revision)
        }
        changeSignal.complete(Unit)
        changeSignal = CompletableDeferred()
    }

    @Synchronized
    fun expire() {
        if (outage) return
        val ended = grants.filterValues { it.endsAt.hasPassedNow() }.keys
        grants -= ended
        val expiredKeys = values.filterValues { it.lease in ended }.keys.map { Change.Delete(it) }
        if (expiredKeys.isNotEmpty()) apply(expiredKeys)
    }

    @Synchronized
    fun grant(ttl: Duration): Long {
        grants[++lastGrant] = Grant(ttl, clocks.mark() + ttl)
        return lastGrant
    }

    @Synchronized
    fun renew(lease: Long): Boolean {
        expire()
        val grant = grants[lease] ?: return false
        grant.endsAt = clocks.mark() + grant.ttl
        return true
    }

    @Synchronized
    fun get(key: String): Entry? = values[key]?.let { Entry(key, it.data, it.version, it.lease) }

    /** Returns at most [limit] entries with the prefix, after the key [after]. */
    @Synchronized
    fun list(prefix: String, after: String? = null, limit: Int = Int.MAX_VALUE): Page {
        val matching = values.tailMap(prefix).filterKeys { it.startsWith(prefix) && (after == null || it > after) }
        val entries = matching.entries.take(limit).map { (key, value) -> Entry(key, value.data, value.version) }
        return Page(entries, hasMore = matching.size > entries.size, revision)
    }

    /** Compacts the history: the next watch from an earlier revision gets the response "too old". */
    @Synchronized
    fun compact() {
        history.clear()
        compactedRevision = revision
    }

    @Synchronized
    private fun changesSince(prefix: String, after: Long): Events? {
        if (after < compactedRevision) return null
        return Events(history.filter { it.version > after && it.key.startsWith(prefix) }, revision)
    }

    /** No request is answered. No lease expires during the outage, and after it each lease has its full TTL again. */
    var outage = false
        @Synchronized set(value) {
            if (!value) grants.values.forEach { it.endsAt = clocks.mark() + it.ttl }
            field = value
        }

    /** Waits at most [wait] for changes after revision [after] and returns them; null if the revision is too old. */
    suspend fun changes(prefix: String, after: Long, wait: Duration): Events? {
        val end = clocks.mark() + wait
        while (true) {
            expire()
            val events = changesSince(prefix, after) ?: return null
            if (events.events.isNotEmpty() || end.hasPassedNow()) return events
            val nextChange = changeSignal
            withTimeoutOrNull(20.milliseconds) { nextChange.await() }
        }
    }
}

/** A controller's client of the store, with injected faults: partitions, lost responses and delayed writes. */
class FakeStateService(private val store: FakeStateStore) : StateService {
    /** Calls are refused; watches get no response. */
    var refusing = false

    /** Calls are neither carried out nor answered. */
    var hanging = false

    /** Reads and transactions are neither carried out nor answered, but lease calls and watches are. */
    var dataHangs = false

    /** Watches are not answered, but all other calls are. */
    var watchesHang = false

    /** The maximum number of entries of a listing's page, and the transit time of each page. */
    var pageSize = Int.MAX_VALUE
    var pageDelay = Duration.ZERO

    /** The exception to throw instead of a call, by the call's name and its key or prefix; null lets the call pass. */
    var failure: (String) -> Throwable? = { null }

    /** The transit time of a watch's response, which does not contain the changes made during that time. */
    var watchDelay = Duration.ZERO

    /** Transactions are carried out, but their responses are lost. */
    var losesResponses = false

    /** The delays of the next transactions. Each gets no response, and is committed after its delay. */
    val delayedWrites = ArrayDeque<Duration>()

    /** Supplies the delay after which a copy of an answered transaction or lease call arrives; null: no copy. */
    var copyDelay: () -> Duration? = { null }

    /** The scope in which delayed transactions and copies are carried out. */
    var delayedWriteScope: CoroutineScope? = null
    var latency: Duration = 1.milliseconds
    private var lastResponseAt: ComparableTimeMark = store.clocks.mark()

    private var lastDataResponseAt: ComparableTimeMark = lastResponseAt

    override val timeSinceLastResponse: Duration get() = lastResponseAt.elapsedNow()
    override val timeSinceLastDataResponse: Duration get() = lastDataResponseAt.elapsedNow()

    private fun throwIfInjected(call: String) {
        failure(call)?.let { throw it }
    }

    private suspend fun <T> call(operation: suspend () -> Outcome<T>): Outcome<T> {
        delay(latency)
        if (hanging) return Outcome.Unknown.also { delay(HANG_TIMEOUT) }
        if (refusing || store.outage) return Outcome.Refused
        return operation().also { lastResponseAt = store.clocks.mark() }
    }

    private suspend fun <T> read(operation: suspend () -> Outcome<T>): Outcome<T> {
        if (dataHangs) return Outcome.Unknown.also { delay(HANG_TIMEOUT) }
        return call { operation().also { recordDataResponse() } }
    }

    private fun recordDataResponse() {
        lastResponseAt = store.clocks.mark()
        lastDataResponseAt = lastResponseAt
    }

    override suspend fun get(key: String): Outcome<Entry> = read {
        throwIfInjected("get $key")
        store.get(key)?.let { Outcome.Ok(it) }
            ?: Outcome.Gone
    }

    override suspend fun list(prefix: String, after: String?): Outcome<Page> = read {
        throwIfInjected("list $prefix")
        Outcome.Ok(store.list(prefix, after, pageSize))
    }.also { delay(pageDelay) }

    override suspend fun commit(conditions: List<Condition>, changes: List<Change>, urgent: Boolean): Commit {
        throwIfInjected("commit")
        delay(latency)
        if (hanging || dataHangs) return Commit.Unknown.also { delay(HANG_TIMEOUT) }
        if (refusing || store.outage) return Commit.Refused
        val writeDelay = delayedWrites.removeFirstOrNull()
        if (writeDelay != null) {
            delayedWriteScope?.launch {
                delay(writeDelay)
                store.commit(conditions, changes)
            }
            delay(HANG_TIMEOUT)
            return Commit.Unknown
        }
        val commit = store.commit(conditions, changes)
        recordDataResponse()
        deliverCopyLater { store.commit(conditions, changes) }
        return if (losesResponses) Commit.Unknown else commit
    }

    override suspend fun grant(ttl: Duration): Outcome<Long> = call {
        throwIfInjected("grant")
        deliverCopyLater { store.grant(ttl) }
        Outcome.Ok(store.grant(ttl))
    }

    override suspend fun renew(lease: Long): Outcome<Unit> = call {
        throwIfInjected("renew")
        deliverCopyLater { store.renew(lease) }
        if (store.renew(lease)) Outcome.Ok(Unit) else Outcome.Gone
    }

    private fun deliverCopyLater(request: () -> Unit) {
        val copyDelay = copyDelay() ?: return
        delayedWriteScope?.launch {
            delay(copyDelay)
            request()
        }
    }

    override suspend fun watch(prefix: String, since: Long, wait: Duration): Outcome<Events> =
        withTimeoutOrNull(wait + HANG_TIMEOUT) {
            throwIfInjected("watch $prefix")
            while (refusing || hanging || watchesHang || store.outage) delay(10.milliseconds)
            call { store.changes(prefix, since, wait)?.let { Outcome.Ok(it) } ?: Outcome.Gone }
        }?.also { delay(watchDelay) } ?: Outcome.Unknown

    private companion object {
        val HANG_TIMEOUT = 2.seconds
    }
}
