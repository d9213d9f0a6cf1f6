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

/** The state service's contents, shared by the views that nodes have of it. */
class FakeStateStore(val clocks: Clocks = Clocks.SYSTEM) {
    class Grant(val ttl: Duration, var ends: ComparableTimeMark)

    class Value(val data: Map<String, Any?>, val version: Long, val lease: Long?)

    /** What a transaction and a value may hold; more is refused as invalid, and what is stored stays. */
    var maxTransactionOps = Int.MAX_VALUE
    var maxValueBytes = Int.MAX_VALUE

    val values = TreeMap<String, Value>()
    private val grants = HashMap<Long, Grant>()
    private val history = ArrayList<Event>()
    private var changed = CompletableDeferred<Unit>()
    private var lastGrant = 0L
    var revision = 0L
        private set

    /** Changes up to this revision are kept no more: a watch from before is told that it is too old. */
    private var compacted = 0L

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
                // Through the wire's form: whole numbers come back as the wire brings them.
                is Change.Put -> values[change.key] =
                    Value(Cbor.decodeMap(Cbor.encode(change.data)), revision, change.lease)

                is Change.Delete -> values.remove(change.key)
            }
            history += Event(change.key, values[change.key]?.data, revision)
        }
        changed.complete(Unit)
        changed = CompletableDeferred()
    }

    @Synchronized
    fun expire() {
        if (outage) return
        val ended = grants.filterValues { it.ends.hasPassedNow() }.keys
        grants -= ended
        val gone = values.filterValues { it.lease in ended }.keys.map { Change.Delete(it) }
        if (gone.isNotEmpty()) apply(gone)
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
        grant.ends = clocks.mark() + grant.ttl
        return true
    }

    @Synchronized
    fun get(key: String): Entry? = values[key]?.let { Entry(key, it.data, it.version, it.lease) }

    /** At most [limit] entries below the prefix, after a key. */
    @Synchronized
    fun list(prefix: String, after: String? = null, limit: Int = Int.MAX_VALUE): Page {
        val rest = values.tailMap(prefix).filterKeys { it.startsWith(prefix) && (after == null || it > after) }
        val entries = rest.entries.take(limit).map { (key, value) -> Entry(key, value.data, value.version) }
        return Page(entries, hasMore = rest.size > entries.size, revision)
    }

    /** Forgets all changes so far: the next watch from before is told that it is too old. */
    @Synchronized
    fun compact() {
        history.clear()
        compacted = revision
    }

    @Synchronized
    private fun since(prefix: String, after: Long): Events? {
        if (after < compacted) return null
        return Events(history.filter { it.version > after && it.key.startsWith(prefix) }, revision)
    }

    /** Nobody is answered. No lease ends meanwhile, and after it all have their full time again. */
    var outage = false
        @Synchronized set(on) {
            if (!on) grants.values.forEach { it.ends = clocks.mark() + it.ttl }
            field = on
        }

    /** The changes after a revision, as soon as there are any; null where it is too old. */
    suspend fun changes(prefix: String, after: Long, wait: Duration): Events? {
        val end = clocks.mark() + wait
        while (true) {
            expire()
            val seen = since(prefix, after) ?: return null
            if (seen.events.isNotEmpty() || end.hasPassedNow()) return seen
            val next = changed
            withTimeoutOrNull(20.milliseconds) { next.await() }
        }
    }
}

/** One node's view of the store, which can be cut off from it, lose answers, or have what it sends carried out late. */
class FakeStateService(private val store: FakeStateStore) : StateService {
    var refusing = false

    /** No call is answered, nor carried out. */
    var hanging = false

    /** Watches are not answered, while all other calls are. */
    var watchesHang = false

    /** How many entries a page of a listing has, and how long each page is on its way. */
    var pageSize = Int.MAX_VALUE
    var pageDelay = Duration.ZERO

    /** What the client throws instead of making a call, by the call's name and its key or prefix. */
    var failure: (String) -> Throwable? = { null }

    /** How long the answer to a watch is on its way: what happens meanwhile is not in it. */
    var watchDelay = Duration.ZERO

    /** Transactions are carried out, but their answers get lost. */
    var losesResponses = false

    /** What becomes of the next transactions: each is given up without an answer, and carried out so much later. */
    val delayedWrites = ArrayDeque<Duration>()

    /** Where late transactions are carried out. */
    var delayedWriteScope: CoroutineScope? = null
    var latency: Duration = 1.milliseconds
    private var last: ComparableTimeMark = store.clocks.mark()

    override val timeSinceLastResponse: Duration get() = last.elapsedNow()

    private fun failIfAsked(call: String) {
        failure(call)?.let { throw it }
    }

    private suspend fun <T> call(work: suspend () -> Outcome<T>): Outcome<T> {
        delay(latency)
        if (hanging) return Outcome.Unknown.also { delay(HANGS) }
        if (refusing || store.outage) return Outcome.Refused
        return work().also { last = store.clocks.mark() }
    }

    override suspend fun get(key: String): Outcome<Entry> = call {
        failIfAsked("get $key")
        store.get(key)?.let { Outcome.Ok(it) }
            ?: Outcome.Gone
    }

    override suspend fun list(prefix: String, after: String?): Outcome<Page> = call {
        failIfAsked("list $prefix")
        Outcome.Ok(store.list(prefix, after, pageSize))
    }.also { delay(pageDelay) }

    override suspend fun commit(conditions: List<Condition>, changes: List<Change>, urgent: Boolean): Commit {
        failIfAsked("commit")
        delay(latency)
        if (hanging) return Commit.Unknown.also { delay(HANGS) }
        if (refusing || store.outage) return Commit.Refused
        val wait = delayedWrites.removeFirstOrNull()
        if (wait != null) {
            delayedWriteScope?.launch {
                delay(wait)
                store.commit(conditions, changes)
            }
            delay(HANGS)
            return Commit.Unknown
        }
        val commit = store.commit(conditions, changes)
        last = store.clocks.mark()
        return if (losesResponses) Commit.Unknown else commit
    }

    override suspend fun grant(ttl: Duration): Outcome<Long> = call {
        failIfAsked("grant")
        Outcome.Ok(store.grant(ttl))
    }

    override suspend fun renew(lease: Long): Outcome<Unit> = call {
        failIfAsked("renew")
        if (store.renew(lease)) Outcome.Ok(Unit) else Outcome.Gone
    }

    override suspend fun watch(prefix: String, since: Long, wait: Duration): Outcome<Events> =
        withTimeoutOrNull(wait + HANGS) {
            failIfAsked("watch $prefix")
            while (refusing || hanging || watchesHang || store.outage) delay(10.milliseconds)
            call { store.changes(prefix, since, wait)?.let { Outcome.Ok(it) } ?: Outcome.Gone }
        }?.also { delay(watchDelay) } ?: Outcome.Unknown

    private companion object {
        val HANGS = 2.seconds
    }
}
