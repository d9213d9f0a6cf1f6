package topazvale.reconcile

import topazvale.model.ExitCause
import kotlin.time.Duration

/** Why a placement stops counting: its task is on its machine no more, and no late command can start it. */
sealed interface AbsenceProof {
    /** Its worker has reported that it exited. */
    data class Exited(val cause: ExitCause) : AbsenceProof

    /** A report whose worker has seen [token], this leader's or a higher one, does not list it. */
    data class NotListed(val session: Long, val sequence: Long, val token: Long) : AbsenceProof

    /** Its worker has begun a later session, and forgot everything from before. */
    data class LaterSession(val session: Long) : AbsenceProof

    /** Its worker's lease has ended. */
    data class LeaseEnded(val lease: LeaseGrounds) : AbsenceProof

    /** The cloud has confirmed that its machine is gone. */
    data object MachineReturned : AbsenceProof
}

/**
 * What a worker's lease was judged by: the last message that could have renewed it ([session], [sequence], and the
 * highest [token] its worker had shown) came in [age] ago; the lease may have lasted for [lease] after that.
 */
data class LeaseGrounds(
    val session: Long,
    val sequence: Long,
    val token: Long,
    val age: Duration?,
    val lease: Duration,
)
