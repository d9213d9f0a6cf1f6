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

/** The faults between one controller and the state service. */
class StateFaults {
    /** Whether each call is refused with status 503; open watches wait. */
    var refusing = false

    /** Whether calls are neither carried out nor responded to. */
    var unresponsive = false

    /** The delay of a call before it is carried out. */
    var latency: () -> Duration = { 1.milliseconds }

    /** The maximum number of entries in a page of a listing, and the delay of the page. */
    var pageSize = Int.MAX_VALUE
    var pageDelay: () -> Duration = { Duration.ZERO }

    /** The delay of the response to a watch. */
    var watchDelay: () -> Duration = { Duration.ZERO }

    /** The share of transactions that get no response and are carried out after [commitDelay]. */
    var delayedShare = 0.0
    var commitDelay: () -> Duration = { Duration.ZERO }

    /** The share of transactions that are carried out at once but whose responses are lost. */
    var lostResponseShare = 0.0
}

/** A stand-in server for the protocol of the state service. Each controller has its own, with its own faults. */
class StateServer(
    vertx: Vertx,
    private val scope: CoroutineScope,
    private val store: FakeStateStore,
    private val random: Random,
) {
    private val server = HttpStandIn(vertx, scope, ::respond)

    /** The faults that are active now. */
    val faults = StateFaults()

    /** Supplies the delays of copies of answered requests; null: no copy. */
    var copyDelay: () -> Duration? by server::copyDelay

    /** Starts listening and returns the port. */
    suspend fun listen(): Int = server.listen()

    private suspend fun respond(request: StandInRequest): StandInResponse? {
        delay(faults.latency())
        if (faults.unresponsive) awaitCancellation()
        if (request.path == "/watch") return watch(request)
        if (faults.refusing || store.outage) return REFUSED
        val parts = request.path.removePrefix("/").split('/')
        return when {
            request.path == "/kv" -> list(request)
            parts.first() == "kv" -> get(request.path.removePrefix("/kv/"))
            request.path == "/commit" -> commit(request)
            request.path == "/grants" -> grant(request)
            parts.first() == "grants" -> renew(parts[1].toLong(), request.method)
            else -> StandInResponse(HttpStatus.BAD_REQUEST, mapOf("error" to "no such path"))
        }
    }

    private fun get(key: String): StandInResponse {
        store.expire()
        val entry =
            store.get(key) ?: return StandInResponse(HttpStatus.NOT_FOUND, mapOf("generation" to store.revision))
        return StandInResponse(HttpStatus.OK, fields(entry))
    }

    private suspend fun list(request: StandInRequest): StandInResponse {
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
        return StandInResponse(HttpStatus.OK, body)
    }

    private fun fields(entry: Entry) = mapOf(
        "k" to entry.key,
        "data" to entry.data,
        "stamp" to entry.version,
        "permit" to entry.lease,
    )

    private suspend fun commit(request: StandInRequest): StandInResponse? {
        val conditions = maps(request, "when").map { Condition(it["k"] as String, it["stamp"] as Long) }
        val changes = maps(request, "apply").map(::change)
        if (random.nextDouble() < faults.delayedShare) {
            scope.launch {
                delay(faults.commitDelay())
                store.commit(conditions, changes)
            }
            return null
        }
        val outcome = store.commit(conditions, changes)
        return if (random.nextDouble() < faults.lostResponseShare) null else response(outcome)
    }

    private fun response(outcome: Commit): StandInResponse = when (outcome) {
        is Commit.Done -> StandInResponse(HttpStatus.OK, mapOf("generation" to outcome.revision))

        is Commit.Failed -> StandInResponse(
            HttpStatus.CONFLICT,
            mapOf("failed" to outcome.keys.toList(), "generation" to store.revision),
        )

        is Commit.LeaseGone -> StandInResponse(HttpStatus.BAD_REQUEST, mapOf("error" to "no such lease"))

        else -> StandInResponse(HttpStatus.BAD_REQUEST, mapOf("error" to "invalid"))
    }

    private fun change(fields: Map<String, Any?>): Change {
        val writtenKey = fields["write"] as String? ?: return Change.Delete(fields["drop"] as String)
        @Suppress("UNCHECKED_CAST")
        return Change.Put(writtenKey, fields["data"] as Map<String, Any?>, fields["permit"] as Long?)
    }

    @Suppress("UNCHECKED_CAST")
    private fun maps(request: StandInRequest, name: String) =
        request.fields[name] as? List<Map<String, Any?>> ?: emptyList()

    private fun grant(request: StandInRequest): StandInResponse {
        val ttl = (request.fields["ttlMs"] as Long).milliseconds
        return StandInResponse(HttpStatus.OK, mapOf("permit" to store.grant(ttl)))
    }

    private fun renew(lease: Long, method: HttpMethod): StandInResponse {
        val renewed = method == HttpMethod.POST && store.renew(lease)
        return StandInResponse(if (renewed) HttpStatus.OK else HttpStatus.NOT_FOUND, emptyMap())
    }

    private suspend fun watch(request: StandInRequest): StandInResponse {
        while (faults.refusing || faults.unresponsive || store.outage) delay(HELD_WATCH_CHECK_INTERVAL)
        val wait = request.parameter("waitMs", "0").toLong().milliseconds
        val events = store.changes(request.parameter("under"), request.parameter("since").toLong(), wait)
        while (faults.refusing || faults.unresponsive || store.outage) delay(HELD_WATCH_CHECK_INTERVAL)
        delay(faults.watchDelay())
        return if (events == null) TOO_OLD else StandInResponse(HttpStatus.OK, fields(events))
    }

    private fun fields(events: Events): Map<String, Any?> = mapOf(
        "generation" to events.revision,
        "events" to events.events.map { event ->
            if (event.data == null) {
                mapOf("drop" to event.key, "stamp" to event.version)
            } else {
                mapOf("write" to event.key, "data" to event.data, "stamp" to event.version)
            }
        },
    )

    private companion object {
        val HELD_WATCH_CHECK_INTERVAL = 10.milliseconds
        val TOO_OLD = StandInResponse(HttpStatus.GONE, mapOf("error" to "too old"))
        val REFUSED = StandInResponse(HttpStatus.UNAVAILABLE, mapOf("error" to "trouble"))
    }
}
