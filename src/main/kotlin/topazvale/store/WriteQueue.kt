package topazvale.store

/** The keys that wait to be written, by how soon they have to be, and the tickets that tell what has been written. */
internal class WriteQueue {
    /** Keys that something waits for, with the ticket from which on they have been waiting. */
    private val urgent = LinkedHashMap<String, Long>()
    private val spare = LinkedHashSet<String>()
    private val idle = LinkedHashSet<String>()

    /** Keys whose values the state service does not take, with the ticket from which on they have been waiting. */
    private val refused = HashMap<String, Long>()
    private var issued = 0L

    /** All that was put with tickets up to this one has been written, but for what is refused. */
    private var settled = 0L

    val urgentKeys: Collection<String> get() = urgent.keys

    /** What can wait; what is only looked at when there is nothing else. */
    val spareKeys: Collection<String> get() = spare.ifEmpty { idle }

    /** A ticket larger than all before. */
    fun issueTicket(): Long = ++issued

    /** Something waits for the key to be written. */
    fun addUrgent(key: String, ticket: Long) {
        spare -= key
        idle -= key
        // A key that was refused has been waiting since then: its former tickets are not written yet.
        urgent.putIfAbsent(key, refused.remove(key) ?: ticket)
    }

    /** The key is to be written when there is time for it. */
    fun addSpare(key: String) {
        if (key !in urgent) spare += key
    }

    /** The key is to be written when nothing else is left. */
    fun addIdle(key: String) {
        if (key !in urgent) idle += key
    }

    /** The key has been written as wanted, or is not wanted any more. */
    fun remove(key: String) {
        urgent.remove(key)
        spare.remove(key)
        idle.remove(key)
        refused.remove(key)
    }

    /** The key has been written, and is to hold something else since [ticket]. */
    fun writtenUpTo(key: String, ticket: Long) {
        if (key in urgent) urgent[key] = ticket
    }

    /** The key's value is not taken: it waits apart until it changes. */
    fun setAside(key: String) {
        spare -= key
        idle -= key
        urgent.remove(key)?.let { refused[key] = it }
    }

    /** Works out anew what [isSettled]; called after each write. */
    fun settle() {
        settled = urgent.values.minOrNull()?.minus(1) ?: issued
    }

    /** Whether what was put with this ticket has been written. */
    fun isSettled(ticket: Long): Boolean = ticket <= settled && refused.values.none { it == ticket }
}
