package topazvale.reconcile

import kotlin.time.Duration

/** Why a task is to stop. With [endsSaving] a task that saves its progress must not finish that first. */
enum class StopReason(val endsSaving: Boolean) {
    /** The job has ended or is cancelled: nobody has any use for what its tasks do. */
    JOB_OVER(endsSaving = true),

    /** Another task of the gang is gone. A task of the gang that saves exits by itself within `gang_peer_s`. */
    GANG_BROKEN(endsSaving = false),

    /** The cloud is about to take back the machine. */
    MACHINE_TAKEN(endsSaving = false),

    /** A job of higher rank gets the capacity. */
    PREEMPTED(endsSaving = false),

    /** The task has no start record, or its job's record cannot be read. */
    STRAY(endsSaving = true),
}

/** The stop that a task is to get, with the termination grace period in which it may save its progress. */
data class StopRequest(val reason: StopReason, val gracePeriod: Duration) {
    /** Whether a worker that has received the stop [earlier] must receive this one as well. */
    fun supersedes(earlier: StopRequest?): Boolean = when {
        earlier == null -> true
        gracePeriod < earlier.gracePeriod -> true
        else -> reason.endsSaving && !earlier.reason.endsSaving
    }
}
