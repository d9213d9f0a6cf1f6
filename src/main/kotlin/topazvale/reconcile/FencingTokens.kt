package topazvale.reconcile

/**
 * The fencing tokens that one leadership term issues to workers: [term], and above it the revisions of the term's own
 * transactions. Each of those succeeded under the condition that the leader key was unchanged, and the next leader's
 * token is the revision of a later change of that key. So every token of a term is below those of its successors.
 *
 * [confirmedRevision] returns the revision of the latest of these transactions.
 */
class FencingTokens(val term: Long, private val confirmedRevision: () -> Long) {
    /** The highest token issued to any worker. A worker that reports a higher one has been commanded by a successor. */
    var highestIssued = term
        private set

    /** Raises the token of a worker as far as possible; returns whether that is higher than before. */
    fun raise(token: CommandToken): Boolean {
        val revision = confirmedRevision()
        if (!token.raiseTo(revision)) return false
        highestIssued = maxOf(highestIssued, revision)
        return true
    }
}

/**
 * The fencing token under which the leader commands one worker.
 *
 * A direct command that was carried out and answered may be delivered once more at any later time. It starts its tasks
 * again if the worker has forgotten them meanwhile, unless the worker has seen a higher token or began another session.
 */
class CommandToken(termToken: Long) {
    /** The token of the next message to the worker; it never decreases. */
    var current = termToken
        private set

    /** Whether a direct command with a start was sent under the current token, in the worker's current session. */
    var mayStartAgain = false
        private set

    /** Records that a start leaves, or may have left, in a direct command under the current token. */
    fun recordDirectStart() {
        mayStartAgain = true
    }

    /** Records that the worker began another session, in which it refuses all commands that were sent before. */
    fun recordSessionEnd() {
        mayStartAgain = false
    }

    /** Raises the token to [revision] if that is higher; the worker then refuses all commands that were sent before. */
    internal fun raiseTo(revision: Long): Boolean {
        if (revision <= current) return false
        current = revision
        mayStartAgain = false
        return true
    }
}
