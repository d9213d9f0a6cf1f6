package topazvale.reconcile

/**
 * Numbering of attempts: every attempt contains the token of the leadership term that issued it. Both versions of a
 * rolling upgrade use the same encoding.
 */
object Attempts {
    private const val ATTEMPTS_PER_TERM = 1L shl 28

    /** Returns the attempt with this sequence number within a term. */
    fun of(term: Long, number: Long): Long = term * ATTEMPTS_PER_TERM + number

    /** Returns the token of the term that issued the attempt. */
    fun termOf(attempt: Long): Long = attempt / ATTEMPTS_PER_TERM
}
