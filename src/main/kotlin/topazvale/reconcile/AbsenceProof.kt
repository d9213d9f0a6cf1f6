package topazvale.reconcile

import topazvale.model.ExitCause
import kotlin.time.Duration

/** Evidence that a placement's task is no longer on its machine and that no delayed command can start it there. */
sealed interface AbsenceProof {
    /** The worker reported that the task exited. */
    data class Exited(val cause: ExitCause) : AbsenceProof

    /** A report does not list the task, and its worker has seen [token], which is at least this leader's. */
    data class NotListed(val session: Long, val sequence: Long, val token: Long) : AbsenceProof

    /** The worker began a later session, and nothing of an earlier session survives. */
    data class LaterSession(val session: Long) : AbsenceProof

    /** The worker's lease expired. */
    data class LeaseEnded(val lease: LeaseGrounds) : AbsenceProof

    /** The start was refused before any command with it was sent. */
    data object NeverSent : AbsenceProof

    /** The cloud confirmed that the machine was returned. */
    data object MachineReturned : AbsenceProof
}

/**
 * The evidence on which a worker's lease is judged: the last message that may have renewed it ([session], [sequence],
 * and the highest [token] the worker had reported) arrived [age] ago; the lease lasts at most [lease] after that.
 */
data class LeaseGrounds(
    val session: Long,
    val sequence: Long,
    val token: Long,
    val age: Duration?,
    val lease: Duration,
)
