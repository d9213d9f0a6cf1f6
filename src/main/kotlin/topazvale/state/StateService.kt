package topazvale.state

import topazvale.wire.Change
import topazvale.wire.Condition
import topazvale.wire.Entry
import topazvale.wire.Events
import topazvale.wire.Page
import kotlin.time.Duration

/** What became of a call whose answer is not the one hoped for. */
sealed interface Outcome<out T> {
    data class Ok<T>(val value: T) : Outcome<T>

    /** What was asked for is not there: a missing key or lease, a history too short. */
    data object Gone : Outcome<Nothing>

    /** Refused and certainly not carried out: an outage, or too many calls. */
    data object Refused : Outcome<Nothing>

    /** No word: it may have been carried out, or still be. */
    data object Unknown : Outcome<Nothing>
}

sealed interface Commit {
    data class Done(val revision: Long) : Commit

    data class Failed(val keys: List<String>) : Commit

    data object LeaseGone : Commit

    /** The transaction itself is not accepted, as too large for instance: to send it as it is once more is no use. */
    data object Invalid : Commit

    data object Refused : Commit

    data object Unknown : Commit
}

/** The small consistent store that is the controllers' only memory. */
interface StateService {
    /** Time since the service last gave this node a useful answer. */
    val silence: Duration

    suspend fun get(key: String): Outcome<Entry>

    suspend fun list(prefix: String, after: String? = null): Outcome<Page>

    suspend fun commit(conditions: List<Condition>, changes: List<Change>, urgent: Boolean = false): Commit

    suspend fun grant(ttl: Duration): Outcome<Long>

    suspend fun renew(lease: Long): Outcome<Unit>

    suspend fun watch(prefix: String, since: Long, wait: Duration): Outcome<Events>
}

/** All entries below a prefix, page by page, with the revision of the first page: a watch from there misses nothing. */
suspend fun StateService.listAll(prefix: String): Outcome<Pair<List<Entry>, Long>> {
    val all = ArrayList<Entry>()
    var revision: Long? = null
    var after: String? = null
    while (true) {
        when (val page = list(prefix, after)) {
            is Outcome.Ok -> {
                all += page.value.entries
                if (revision == null) revision = page.value.revision
                if (!page.value.more || page.value.entries.isEmpty()) return Outcome.Ok(all to revision)
                after = page.value.entries.last().key
            }

            is Outcome.Gone -> return Outcome.Gone

            is Outcome.Refused -> return Outcome.Refused

            is Outcome.Unknown -> return Outcome.Unknown
        }
    }
}
