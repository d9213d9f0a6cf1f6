package topazvale.reconcile

/** How attempts are numbered: each names the term in which it was given. Both versions of an upgrade do so. */
object Attempts {
    private const val PER_TERM = 1L shl 28

    /** The attempt with this number of a term. */
    fun of(term: Long, number: Long): Long = term * PER_TERM + number

    /** The token of the term in which the attempt was given. */
    fun termOf(attempt: Long): Long = attempt / PER_TERM
}
