package topazvale.state

import topazvale.wire.Change
import topazvale.wire.Condition
import topazvale.wire.Entry
import topazvale.wire.Events
import topazvale.wire.Page
import kotlin.time.Duration

/** What became of a call whose answer is not the one hoped for. */
sealed interface Outcome<out T> {
    /** The value asked for. */
    data class Ok<T>(val value: T) : Outcome<T>

    /** Without a value. */
    sealed interface Failure : Outcome<Nothing>

    /** What was asked for is not there: a missing key or lease, a history too short. */
    data object Gone : Failure

    /** Refused and certainly not carried out: an outage, or too many calls. */
    data object Refused : Failure

    /** No word: it may have been carried out, or still be. */
    data object Unknown : Failure
}

/** What became of a transaction. */
sealed interface Commit {
    /** Carried out, at this revision. */
    data class Done(val revision: Long) : Commit

    /** Not carried out, as these keys have other versions than the conditions ask for. */
    data class Failed(val keys: List<String>) : Commit

    /** Not carried out, as a lease that it names has ended. */
    data object LeaseGone : Commit

    /** The transaction itself is not accepted, as too large for instance: to send it as it is once more is no use. */
    data object Invalid : Commit

    data object Refused : Commit

    data object Unknown : Commit
}

/** The small consistent store that is the controllers' only memory. */
interface StateService {
    /** Time since the service last gave this node a useful answer. */
    val timeSinceLastResponse: Duration

    /** The entry of a key. */
    suspend fun get(key: String): Outcome<Entry>

    /** A page of the entries below a prefix, after a key. */
    suspend fun list(prefix: String, after: String? = null): Outcome<Page>

    /**
     * Carries out all changes if all conditions hold. What is [urgent] waits for its turn; the rest is refused instead.
     */
    suspend fun commit(conditions: List<Condition>, changes: List<Change>, urgent: Boolean = false): Commit

    /** A new lease. */
    suspend fun grant(ttl: Duration): Outcome<Long>

    /** Gives the lease its full time again. */
    suspend fun renew(lease: Long): Outcome<Unit>

    /** The changes below a prefix after a revision, as soon as there are any, or none after the wait. */
    suspend fun watch(prefix: String, since: Long, wait: Duration): Outcome<Events>
}

/** All entries below a prefix, as of some moment at or after [revision]: a watch from there misses nothing. */
class Listing(val entries: List<Entry>, val revision: Long)

/** All entries below a prefix, page by page, with the revision of the first page. */
suspend fun StateService.listAll(prefix: String): Outcome<Listing> {
    val entries = ArrayList<Entry>()
    var revision: Long? = null
    var after: String? = null
    while (true) {
        val page = when (val listed = list(prefix, after)) {
            is Outcome.Ok -> listed.value
            is Outcome.Failure -> return listed
        }
        entries += page.entries
        if (revision == null) revision = page.revision
        if (!page.hasMore || page.entries.isEmpty()) return Outcome.Ok(Listing(entries, revision))
        after = page.entries.last().key
    }
}
