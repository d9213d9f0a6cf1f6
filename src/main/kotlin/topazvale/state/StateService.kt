package topazvale.state

import topazvale.wire.Change
import topazvale.wire.Condition
import topazvale.wire.Entry
import topazvale.wire.Events
import topazvale.wire.Page
import kotlin.time.Duration

/** The result of a call to the state service. */
sealed interface Outcome<out T> {
    /** The requested value. */
    data class Ok<T>(val value: T) : Outcome<T>

    /** A result without a value. */
    sealed interface Failure : Outcome<Nothing>

    /** The requested key or lease does not exist, or the history no longer reaches back to the requested revision. */
    data object Gone : Failure

    /** Rejected and certainly not carried out: an outage, or too many calls. */
    data object Refused : Failure

    /** No response: the call may have been carried out, or may still be. */
    data object Unknown : Failure
}

/** The result of a transaction. */
sealed interface Commit {
    /** Carried out at this revision. */
    data class Done(val revision: Long) : Commit

    /** Not carried out, because these keys do not have the versions that the conditions require. */
    data class Failed(val keys: List<String>) : Commit

    /** Not carried out, because a lease that the transaction names has ended. */
    data object LeaseGone : Commit

    /** The transaction itself is invalid, for instance too large: sending it again unchanged cannot succeed. */
    data object Invalid : Commit

    /** Rejected and certainly not carried out, as [Outcome.Refused]. */
    data object Refused : Commit

    /** No response: the transaction may have been carried out, or may still be. */
    data object Unknown : Commit
}

/** The small, consistent key-value store that holds the only persistent state of the controllers. */
interface StateService {
    /** The time since this node last received a response other than a refusal from the service. */
    val timeSinceLastResponse: Duration

    /** The same for reads and transactions alone: renewals and watches may get responses while these get none. */
    val timeSinceLastDataResponse: Duration

    /** Reads the entry of a key. */
    suspend fun get(key: String): Outcome<Entry>

    /** Reads a page of the entries whose keys have the [prefix] and come after the key [after]. */
    suspend fun list(prefix: String, after: String? = null): Outcome<Page>

    /**
     * Applies all changes atomically if all conditions hold (compare-and-set). If the rate limit is reached, an
     * [urgent] transaction waits for its tokens and any other is refused.
     */
    suspend fun commit(conditions: List<Condition>, changes: List<Change>, urgent: Boolean = false): Commit

    /** Grants a lease with the time to live [ttl]. */
    suspend fun grant(ttl: Duration): Outcome<Long>

    /** Extends the lease to its full time to live. */
    suspend fun renew(lease: Long): Outcome<Unit>

    /**
     * Returns the changes of keys with the [prefix] after the revision [since] as soon as there are any, or none after
     * the time [wait].
     */
    suspend fun watch(prefix: String, since: Long, wait: Duration): Outcome<Events>
}

/** All entries with a key prefix, each as of [revision] or later: a watch from [revision] misses no change. */
class Listing(val entries: List<Entry>, val revision: Long)

/** Reads all entries whose keys have the [prefix], page by page. The revision is that of the first page. */
suspend fun StateService.listAll(prefix: String): Outcome<Listing> {
    val entries = ArrayList<Entry>()
    var revision: Long? = null
    var lastKey: String? = null
    while (true) {
        val page = when (val listed = list(prefix, lastKey)) {
            is Outcome.Ok -> listed.value
            is Outcome.Failure -> return listed
        }
        entries += page.entries
        if (revision == null) revision = page.revision
        if (!page.hasMore || page.entries.isEmpty()) return Outcome.Ok(Listing(entries, revision))
        lastKey = page.entries.last().key
    }
}
