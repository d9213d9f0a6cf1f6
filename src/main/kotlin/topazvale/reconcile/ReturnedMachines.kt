package topazvale.reconcile

/**
 * The machines that went back to the cloud last. Their names are never used again, but late reports of theirs and old
 * machine lists may come.
 *
 * Of more than [most] the oldest are forgotten: a view that is older than so many returns shows a machine that nobody
 * hears, which is returned once more and does no harm but for that.
 */
internal class ReturnedMachines(private val most: Int = MOST) {
    private val names = LinkedHashSet<String>()

    /** How many names are remembered. */
    val size: Int get() = names.size

    /** The machine has gone back. */
    operator fun plusAssign(host: String) {
        names += host
        if (names.size > most) names.remove(names.first())
    }

    /** Whether the machine is known to have gone back. */
    operator fun contains(host: String) = host in names

    private companion object {
        /** Twice a fleet of the largest size that is planned for; about a megabyte. */
        const val MOST = 8192
    }
}
