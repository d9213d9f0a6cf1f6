package topazvale.wire

/** A value with the revision of its last change, and the lease that it hangs on. */
data class Entry(val key: String, val data: Map<String, Any?>, val version: Long, val lease: Long? = null)

/** A page of entries, as of a revision. */
data class Page(val entries: List<Entry>, val hasMore: Boolean, val revision: Long)

/** A change of one key. */
sealed interface Change {
    val key: String

    data class Put(override val key: String, val data: Map<String, Any?>, val lease: Long? = null) : Change

    data class Delete(override val key: String) : Change
}

/** A change somebody made; [data] is null for a deletion. */
data class Event(val key: String, val data: Map<String, Any?>?, val version: Long)

/** Changes up to a revision. */
data class Events(val events: List<Event>, val revision: Long)

/** A key that has to stand at [version] for a transaction to count; 0: it must not exist. */
data class Condition(val key: String, val version: Long)

/** The state service's bodies. */
object StateWire {
    /** The answer to a read. */
    fun entry(body: ByteArray): Entry = entry(Fields(Cbor.decodeMap(body)))

    private fun entry(f: Fields) = Entry(f.text("k"), f.map("data"), f.whole("stamp"), f.wholeOrNull("permit"))

    /** The revision of a transaction that was carried out. */
    fun revision(body: ByteArray): Long = Fields(Cbor.decodeMap(body)).whole("generation")

    /** A page of entries. */
    fun page(body: ByteArray): Page {
        val f = Fields(Cbor.decodeMap(body))
        return Page(f.maps("entries").map(::entry), f.flagOr("truncated", false), f.whole("generation"))
    }

    /** A transaction. */
    fun transaction(conditions: List<Condition>, changes: List<Change>): ByteArray = Cbor.encode(
        mapOf(
            "when" to conditions.map { mapOf("k" to it.key, "stamp" to it.version) },
            "apply" to changes.map { change ->
                when (change) {
                    is Change.Put -> buildMap<String, Any?> {
                        put("write", change.key)
                        put("data", change.data)
                        change.lease?.let { put("permit", it) }
                    }

                    is Change.Delete -> mapOf<String, Any?>("drop" to change.key)
                }
            },
        ),
    )

    /** The keys for which a transaction failed. */
    fun failed(body: ByteArray): List<String> = Fields(Cbor.decodeMap(body)).textsOrNull("failed").orEmpty()

    /** Of the 400s one says that the lease is over; the others find fault with the transaction itself. */
    fun leaseGone(body: ByteArray): Boolean = Fields(Cbor.decodeMap(body)).textOrNull("error") == "no such lease"

    /** A request for a lease. */
    fun grant(ttlMs: Long): ByteArray = Cbor.encode(mapOf("ttlMs" to ttlMs))

    /** The lease that was granted. */
    fun lease(body: ByteArray): Long = Fields(Cbor.decodeMap(body)).whole("permit")

    /** The answer to a watch. */
    fun events(body: ByteArray): Events {
        val f = Fields(Cbor.decodeMap(body))
        val events = f.maps("events").map { e ->
            val written = e.textOrNull("write")
            if (written != null) {
                Event(written, e.map("data"), e.whole("stamp"))
            } else {
                Event(e.text("drop"), null, e.whole("stamp"))
            }
        }
        return Events(events, f.whole("generation"))
    }
}
