package topazvale.wire

/** A stored value with the revision of its last change and the lease that it is attached to. */
data class Entry(val key: String, val data: Map<String, Any?>, val version: Long, val lease: Long? = null)

/** A page of entries as of a revision. */
data class Page(val entries: List<Entry>, val hasMore: Boolean, val revision: Long)

/** A change of one key in a transaction. */
sealed interface Change {
    val key: String

    data class Put(override val key: String, val data: Map<String, Any?>, val lease: Long? = null) : Change

    data class Delete(override val key: String) : Change
}

/** A change that was carried out; [data] is null for a deletion. */
data class Event(val key: String, val data: Map<String, Any?>?, val version: Long)

/** The changes up to a revision. */
data class Events(val events: List<Event>, val revision: Long)

/** A precondition of a transaction: the key must have this [version]; 0 means that it must not exist. */
data class Condition(val key: String, val version: Long)

/** Bodies of the state service's API. */
object StateWire {
    /** Decodes the response to a read. */
    fun decodeEntry(body: ByteArray): Entry = entryOf(Fields(Cbor.decodeMap(body)))

    private fun entryOf(fields: Fields) =
        Entry(fields.string("k"), fields.map("data"), fields.integer("stamp"), fields.integerOrNull("permit"))

    /** Decodes the revision of a transaction that was carried out. */
    fun decodeRevision(body: ByteArray): Long = Fields(Cbor.decodeMap(body)).integer("generation")

    /** Decodes a page of entries. */
    fun decodePage(body: ByteArray): Page {
        val fields = Fields(Cbor.decodeMap(body))
        return Page(
            fields.maps("entries").map(::entryOf),
            fields.booleanOr("truncated", false),
            fields.integer("generation"),
        )
    }

    /** Encodes a transaction. */
    fun encodeTransaction(conditions: List<Condition>, changes: List<Change>): ByteArray = Cbor.encode(
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

    /** Decodes the keys whose conditions made a transaction fail. */
    fun decodeFailedKeys(body: ByteArray): List<String> = Fields(Cbor.decodeMap(body)).stringsOrNull("failed").orEmpty()

    /**
     * Whether a response with status 400 means that the lease has ended. Any other 400 rejects the transaction itself.
     */
    fun isLeaseGone(body: ByteArray): Boolean = Fields(Cbor.decodeMap(body)).stringOrNull("error") == "no such lease"

    /** Encodes a request for a lease. */
    fun encodeLeaseRequest(ttlMs: Long): ByteArray = Cbor.encode(mapOf("ttlMs" to ttlMs))

    /** Decodes the id of a granted lease. */
    fun decodeLease(body: ByteArray): Long = Fields(Cbor.decodeMap(body)).integer("permit")

    /** Decodes the response to a watch. */
    fun decodeEvents(body: ByteArray): Events {
        val fields = Fields(Cbor.decodeMap(body))
        val events = fields.maps("events").map { event ->
            val writtenKey = event.stringOrNull("write")
            if (writtenKey != null) {
                Event(writtenKey, event.map("data"), event.integer("stamp"))
            } else {
                Event(event.string("drop"), null, event.integer("stamp"))
            }
        }
        return Events(events, fields.integer("generation"))
    }
}
