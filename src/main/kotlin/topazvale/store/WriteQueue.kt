package topazvale.store

/**
 * The keys with a pending write, by priority: urgent, deferred, background. Each write has a ticket, which tells
 * whether the write is durable.
 */
internal class WriteQueue {
    /** Keys whose write another action waits for, each with the ticket since which it has been pending. */
    private val urgent = LinkedHashMap<String, Long>()
    private val deferred = LinkedHashSet<String>()
    private val background = LinkedHashSet<String>()

    /** Keys whose values the state service rejects, each with the ticket since which it has been pending. */
    private val quarantined = HashMap<String, Long>()
    private var lastTicket = 0L

    /** All writes with tickets up to this one are durable, except those of quarantined keys. */
    private var durableUpTo = 0L

    val urgentKeys: Collection<String> get() = urgent.keys

    /** The keys of the deferred writes, or those of the background writes if no write is deferred. */
    val deferredKeys: Collection<String> get() = deferred.ifEmpty { background }

    /** Returns a ticket greater than all earlier ones. */
    fun issueTicket(): Long = ++lastTicket

    /** Adds a key whose write another action waits for. */
    fun addUrgent(key: String, ticket: Long) {
        deferred -= key
        background -= key
        // A quarantined key has been pending since its earlier ticket: the writes with its tickets are not durable yet.
        urgent.putIfAbsent(key, quarantined.remove(key) ?: ticket)
    }

    /** Adds a key that is written as capacity allows, unless it is urgent already. */
    fun addDeferred(key: String) {
        if (key !in urgent) deferred += key
    }

    /** Adds a key that is written once no other write is pending, unless it is urgent already. */
    fun addBackground(key: String) {
        if (key !in urgent) background += key
    }

    /** Removes a key whose latest content has been written, or which no longer needs to be written. */
    fun remove(key: String) {
        urgent.remove(key)
        deferred.remove(key)
        background.remove(key)
        quarantined.remove(key)
    }

    /**
     * Records that the key has been written with older content, and that its latest content is pending since [ticket].
     */
    fun recordOlderWrite(key: String, ticket: Long) {
        if (key in urgent) urgent[key] = ticket
    }

    /** Takes a key whose value the state service rejects out of the queue until its content changes. */
    fun quarantine(key: String) {
        deferred -= key
        background -= key
        urgent.remove(key)?.let { quarantined[key] = it }
    }

    /** Updates which tickets are durable; called after each write. */
    fun updateDurable() {
        durableUpTo = urgent.values.minOrNull()?.minus(1) ?: lastTicket
    }

    /** Whether the write with this ticket is in the state service. */
    fun isDurable(ticket: Long): Boolean = ticket <= durableUpTo && quarantined.values.none { it == ticket }
}
