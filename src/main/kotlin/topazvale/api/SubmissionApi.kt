package topazvale.api

import org.slf4j.LoggerFactory
import topazvale.mesh.CancellationLog
import topazvale.model.Clocks
import topazvale.model.JobRecord
import topazvale.model.JobSpec
import topazvale.model.JobStatus
import topazvale.model.JobView
import topazvale.net.HttpStatus
import topazvale.state.Commit
import topazvale.state.Outcome
import topazvale.state.StateService
import topazvale.store.JobRecords
import topazvale.store.Keys
import topazvale.store.Records
import topazvale.store.TaskCountRecord
import topazvale.wire.Change
import topazvale.wire.Condition
import topazvale.wire.Entry
import topazvale.wire.JobWire
import topazvale.wire.MalformedException

/**
 * Answers users from the state service, so that no controller can say something older than another has said. Only final
 * states, which never change, are answered from memory. Nothing is held back: what cannot be answered gets 503 with
 * `Retry-After` at once.
 *
 * [served] is false while other controllers get answers of the state service that this one does not get.
 */
class SubmissionApi(
    private val state: StateService,
    private val admission: JobAdmission,
    private val cancellations: CancellationLog,
    private val clocks: Clocks,
    private val served: () -> Boolean,
) {
    private val log = LoggerFactory.getLogger(SubmissionApi::class.java)
    private val taskCounts = TaskCounts(state, clocks)
    private val finalStates = FinalStates(state)

    /** `POST /submissions`. */
    suspend fun submit(body: ByteArray): ApiResponse {
        val spec = try {
            JobWire.decodeSubmission(body)
        } catch (e: MalformedException) {
            log.info("submission refused: {}", e.message)
            return malformed(body, e)
        }
        val final = finalStates.known(spec.id)
        return when {
            final != null -> view(final, spec.id)
            !served() -> unserved()
            !admission.ready -> ApiResponse.retryLater("machine types are not known yet")
            else -> admit(spec)
        }
    }

    /** `GET /submissions/{id}`. */
    suspend fun poll(id: String): ApiResponse {
        if (!JobWire.isJobId(id)) return NO_SUCH_JOB
        finalStates.known(id)?.let { return view(it, id) }
        if (!served()) return unserved()
        // The counts come first: after the job itself nothing is waited for, so that what is said of it is not
        // overtaken by a cancellation meanwhile.
        val counts = taskCounts.of(id)
        return when (val job = state.get(Keys.job(id))) {
            is Outcome.Ok -> record(job.value)?.let { view(id, it, counts) } ?: UNREADABLE
            is Outcome.Gone -> final(id, ::view)
            else -> NO_ANSWER
        }
    }

    /** `POST /submissions/{id}/abort`. */
    suspend fun cancel(id: String): ApiResponse {
        if (!JobWire.isJobId(id)) return NO_SUCH_JOB
        if (!served()) return finalStates.known(id)?.let { cancelAnswer(it, id) } ?: unserved()
        repeat(CANCEL_ATTEMPTS) {
            tryCancel(id)?.let { return it }
        }
        return ApiResponse.retryLater("the job keeps changing")
    }

    private suspend fun admit(spec: JobSpec): ApiResponse {
        val record = JobRecords.encode(JobRecord(spec, clocks.now(), JobStatus.LIVE))
        admission.refusal(spec, record)?.let { return refuse(spec.id, it) }
        val commit = state.commit(
            listOf(Condition(Keys.job(spec.id), 0), Condition(Keys.final(spec.id), 0)),
            listOf(Change.Put(Keys.job(spec.id), record)),
        )
        return when (commit) {
            is Commit.Done -> ApiResponse.of(HttpStatus.CREATED, mapOf("uid" to spec.id, "status" to "queued"))
            is Commit.Failed -> poll(spec.id)
            is Commit.Refused -> OVERLOADED
            is Commit.Invalid -> refuse(spec.id, JobAdmission.TOO_LARGE)
            else -> NO_ANSWER
        }
    }

    /** A job that is known is answered for, whatever a repeated submission of it now says. */
    private suspend fun malformed(body: ByteArray, cause: MalformedException): ApiResponse {
        val refusal = Refusal(HttpStatus.BAD_REQUEST, cause.message.orEmpty())
        return JobWire.decodeJobId(body)?.let { refuse(it, refusal) }
            ?: ApiResponse.error(refusal.status, refusal.message)
    }

    /** A job that was accepted stays accepted, even if it would be refused today. */
    private suspend fun refuse(id: String, refusal: Refusal): ApiResponse {
        val known = poll(id)
        return if (known.status == HttpStatus.NOT_FOUND) ApiResponse.error(refusal.status, refusal.message) else known
    }

    /** Null where the job has changed meanwhile, so that it has to be looked at again. */
    private suspend fun tryCancel(id: String): ApiResponse? {
        finalStates.known(id)?.let { return cancelAnswer(it, id) }
        return when (val job = state.get(Keys.job(id))) {
            is Outcome.Ok -> record(job.value)?.let { cancelLive(id, it, job.value.version) ?: return null }
                ?: UNREADABLE

            is Outcome.Gone -> final(id, ::cancelAnswer)

            else -> NO_ANSWER
        }
    }

    private suspend fun cancelLive(id: String, record: JobRecord, version: Long): ApiResponse? {
        if (record.status == JobStatus.CANCELLED) return cancelled(id)
        cancellations.requested(id)
        val commit = state.commit(
            listOf(Condition(Keys.job(id), version)),
            listOf(Change.Put(Keys.job(id), admission.cancelledRecord(record))),
        )
        // Only where the transaction was certainly not carried out is the cancellation taken off the log again.
        if (commit is Commit.Failed || commit is Commit.Refused) cancellations.withdrawn(id)
        return when (commit) {
            is Commit.Done -> cancelled(id)
            is Commit.Failed -> null
            is Commit.Refused -> OVERLOADED
            else -> NO_ANSWER
        }
    }

    private fun cancelled(id: String): ApiResponse {
        cancellations.confirmed(id)
        return cancelAnswer(JobStatus.CANCELLED, id)
    }

    private suspend fun final(id: String, answer: (JobStatus, String) -> ApiResponse): ApiResponse =
        when (val status = finalStates.read(id)) {
            is Outcome.Ok -> answer(status.value, id)
            is Outcome.Gone -> NO_SUCH_JOB
            else -> NO_ANSWER
        }

    private fun record(entry: Entry): JobRecord? = Records.readOrNull(entry.key, entry.data, JobRecords::decode)

    private fun view(id: String, record: JobRecord, counts: TaskCountRecord?): ApiResponse {
        if (record.status == JobStatus.CANCELLED) {
            cancellations.confirmed(id)
            return view(JobStatus.CANCELLED, id)
        }
        return ApiResponse.of(
            HttpStatus.OK,
            JobWire.encodeStatus(JobView(id, JobStatus.LIVE, counts?.done ?: 0, counts?.running ?: 0)),
        )
    }

    private fun view(status: JobStatus, id: String) =
        ApiResponse.of(HttpStatus.OK, JobWire.encodeStatus(JobView(id, status, done = 0, running = 0)))

    private fun cancelAnswer(status: JobStatus, id: String) =
        ApiResponse.of(HttpStatus.OK, JobWire.encodeCancellation(JobView(id, status, done = 0, running = 0)))

    private companion object {
        const val CANCEL_ATTEMPTS = 4
        val NO_SUCH_JOB = ApiResponse.error(HttpStatus.NOT_FOUND, "no such job")
        val NO_ANSWER = ApiResponse.retryLater("no word from the state service")
        val OVERLOADED = ApiResponse.retryLater("too much is asked at the moment")

        /** The job is there, so that a user must not hear that it is not; another controller may be able to read it. */
        val UNREADABLE = ApiResponse.retryLater("the job's record cannot be read")

        /** A call would only run into its time limit: the user is told at once, and sent elsewhere. */
        fun unserved() = ApiResponse.retryLater("no word from the state service", close = true)
    }
}
