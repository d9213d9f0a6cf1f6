package topazvale.reconcile

/**
 * The machines most recently returned to the cloud. Their names are never reused, but delayed reports and stale machine
 * lists may still mention them.
 *
 * Only the last [maxSize] are remembered. A list that is older than that many returns adds a machine that never reports
 * and is returned once more; that does no other harm.
 */
internal class ReturnedMachines(private val maxSize: Int = MAX_SIZE) {
    private val names = LinkedHashSet<String>()

    /** The number of remembered machines. */
    val size: Int get() = names.size

    /** Adds a returned machine. */
    operator fun plusAssign(host: String) {
        names += host
        if (names.size > maxSize) names.remove(names.first())
    }

    /** Whether the machine is remembered as returned. */
    operator fun contains(host: String) = host in names

    private companion object {
        /** Twice the size of the largest fleet that is planned for; about a megabyte of names. */
        const val MAX_SIZE = 8192
    }
}
