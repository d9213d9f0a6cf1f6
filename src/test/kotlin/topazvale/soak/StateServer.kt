package topazvale.soak

import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import topazvale.fake.FakeStateStore
import topazvale.net.HttpStatus
import topazvale.state.Commit
import topazvale.wire.Change
import topazvale.wire.Condition
import topazvale.wire.Entry
import topazvale.wire.Events
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What goes wrong between one controller and the state service. */
class StateFaults {
    /** Each call is refused with 503; open watches wait. */
    var refusing = false

    /** Nothing is answered, nor carried out. */
    var hanging = false

    /** How long a call takes. */
    var latency: () -> Duration = { 1.milliseconds }

    /** How many entries a page of a listing has at most, and how long it is on its way. */
    var pageSize = Int.MAX_VALUE
    var pageDelay: () -> Duration = { Duration.ZERO }

    /** How long the answer to a watch is on its way. */
    var watchDelay: () -> Duration = { Duration.ZERO }

    /** The share of transactions that are carried out so much later, without an answer. */
    var lateShare = 0.0
    var lateBy: () -> Duration = { Duration.ZERO }

    /** The share of transactions that are carried out at once, and whose answers get lost. */
    var lostShare = 0.0
}

/** The state service's protocol in front of a store, with a port and faults of its own for one controller. */
class StateServer(
    vertx: Vertx,
    private val scope: CoroutineScope,
    private val store: FakeStateStore,
    private val random: Random,
) {
    private val server = HttpStandIn(vertx, scope, ::answer)

    /** What goes wrong now. */
    val faults = StateFaults()

    /** Starts listening; the port. */
    suspend fun listen(): Int = server.listen()

    private suspend fun answer(request: StandInRequest): StandInAnswer? {
        delay(faults.latency())
        if (faults.hanging) awaitCancellation()
        if (request.path == "/watch") return watch(request)
        if (faults.refusing || store.outage) return REFUSED
        val parts = request.path.removePrefix("/").split('/')
        return when {
            request.path == "/kv" -> list(request)
            parts.first() == "kv" -> get(request.path.removePrefix("/kv/"))
            request.path == "/commit" -> commit(request)
            request.path == "/grants" -> grant(request)
            parts.first() == "grants" -> renew(parts[1].toLong(), request.method)
            else -> StandInAnswer(HttpStatus.BAD_REQUEST, mapOf("error" to "no such path"))
        }
    }

    private fun get(key: String): StandInAnswer {
        store.expire()
        val entry = store.get(key) ?: return StandInAnswer(HttpStatus.NOT_FOUND, mapOf("generation" to store.revision))
        return StandInAnswer(HttpStatus.OK, fields(entry))
    }

    private suspend fun list(request: StandInRequest): StandInAnswer {
        store.expire()
        val after = request.parameter("since")
        val limit = request.parameter("limit", "1000").toInt()
        val page = store.list(request.parameter("under"), after, minOf(limit, faults.pageSize))
        val body = mapOf(
            "entries" to page.entries.map(::fields),
            "truncated" to page.hasMore,
            "generation" to page.revision,
        )
        delay(faults.pageDelay())
        return StandInAnswer(HttpStatus.OK, body)
    }

    private fun fields(entry: Entry) = mapOf(
        "k" to entry.key,
        "data" to entry.data,
        "stamp" to entry.version,
        "permit" to entry.lease,
    )

    private suspend fun commit(request: StandInRequest): StandInAnswer? {
        val conditions = maps(request, "when").map { Condition(it["k"] as String, it["stamp"] as Long) }
        val changes = maps(request, "apply").map(::change)
        if (random.nextDouble() < faults.lateShare) {
            scope.launch {
                delay(faults.lateBy())
                store.commit(conditions, changes)
            }
            return null
        }
        val outcome = store.commit(conditions, changes)
        return if (random.nextDouble() < faults.lostShare) null else answer(outcome)
    }

    private fun answer(outcome: Commit): StandInAnswer = when (outcome) {
        is Commit.Done -> StandInAnswer(HttpStatus.OK, mapOf("generation" to outcome.revision))

        is Commit.Failed -> StandInAnswer(
            HttpStatus.CONFLICT,
            mapOf("failed" to outcome.keys.toList(), "generation" to store.revision),
        )

        is Commit.LeaseGone -> StandInAnswer(HttpStatus.BAD_REQUEST, mapOf("error" to "no such lease"))

        else -> StandInAnswer(HttpStatus.BAD_REQUEST, mapOf("error" to "invalid"))
    }

    private fun change(fields: Map<String, Any?>): Change {
        val written = fields["write"] as String? ?: return Change.Delete(fields["drop"] as String)
        @Suppress("UNCHECKED_CAST")
        return Change.Put(written, fields["data"] as Map<String, Any?>, fields["permit"] as Long?)
    }

    @Suppress("UNCHECKED_CAST")
    private fun maps(request: StandInRequest, name: String) =
        request.fields[name] as? List<Map<String, Any?>> ?: emptyList()

    private fun grant(request: StandInRequest): StandInAnswer {
        val ttl = (request.fields["ttlMs"] as Long).milliseconds
        return StandInAnswer(HttpStatus.OK, mapOf("permit" to store.grant(ttl)))
    }

    private fun renew(lease: Long, method: HttpMethod): StandInAnswer {
        val there = method == HttpMethod.POST && store.renew(lease)
        return StandInAnswer(if (there) HttpStatus.OK else HttpStatus.NOT_FOUND, emptyMap())
    }

    private suspend fun watch(request: StandInRequest): StandInAnswer {
        while (faults.refusing || faults.hanging || store.outage) delay(HELD_WATCH)
        val wait = request.parameter("waitMs", "0").toLong().milliseconds
        val seen = store.changes(request.parameter("under"), request.parameter("since").toLong(), wait)
        while (faults.refusing || faults.hanging || store.outage) delay(HELD_WATCH)
        delay(faults.watchDelay())
        return if (seen == null) TOO_OLD else StandInAnswer(HttpStatus.OK, fields(seen))
    }

    private fun fields(seen: Events): Map<String, Any?> = mapOf(
        "generation" to seen.revision,
        "events" to seen.events.map { event ->
            if (event.data == null) {
                mapOf("drop" to event.key, "stamp" to event.version)
            } else {
                mapOf("write" to event.key, "data" to event.data, "stamp" to event.version)
            }
        },
    )

    private companion object {
        val HELD_WATCH = 10.milliseconds
        val TOO_OLD = StandInAnswer(HttpStatus.GONE, mapOf("error" to "too old"))
        val REFUSED = StandInAnswer(HttpStatus.UNAVAILABLE, mapOf("error" to "trouble"))
    }
}
