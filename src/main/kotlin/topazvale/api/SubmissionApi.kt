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
 * Submission, polling and cancellation of jobs by users.
 *
 * Responses are based on reads from the state service, so that no controller reports an older state than another
 * controller has already reported. Only final states, which never change, are served from memory. Requests are never
 * queued: a request that cannot be answered gets 503 with `Retry-After` immediately.
 *
 * [stateServiceAvailable] is false while other controllers get responses from the state service but this one does not.
 */
class SubmissionApi(
    private val state: StateService,
    private val admission: JobAdmission,
    private val cancellations: CancellationLog,
    private val clocks: Clocks,
    private val stateServiceAvailable: () -> Boolean,
) {
    private val log = LoggerFactory.getLogger(SubmissionApi::class.java)
    private val taskCounts = TaskCounts(state, clocks)
    private val finalStates = FinalStates(state)

    /** `POST /submissions`. */
    suspend fun submit(body: ByteArray): ApiResponse {
        val spec = try {
            JobWire.decodeSubmission(body)
        } catch (e: MalformedException) {
            log.info("malformed submission rejected: {}", e.message)
            return rejectMalformed(body, e)
        }
        val final = finalStates.cached(spec.id)
        return when {
            final != null -> view(final, spec.id)
            !stateServiceAvailable() -> unavailable()
            !admission.isReady -> ApiResponse.retryLater("machine types are not known yet")
            else -> admit(spec)
        }
    }

    /** `GET /submissions/{id}`. */
    suspend fun poll(id: String): ApiResponse {
        if (!JobWire.isJobId(id)) return NO_SUCH_JOB
        finalStates.cached(id)?.let { return view(it, id) }
        if (!stateServiceAvailable()) return unavailable()
        // The counts are read first: the response must follow the read of the job without suspending, as a cancellation
        // that is confirmed in the meantime would make it stale.
        val counts = taskCounts.of(id)
        return when (val job = state.get(Keys.job(id))) {
            is Outcome.Ok -> decodeRecord(job.value)?.let { view(id, it, counts) } ?: UNREADABLE_RECORD
            is Outcome.Gone -> finalResponse(id, ::view)
            else -> NO_RESPONSE
        }
    }

    /** `POST /submissions/{id}/abort`. */
    suspend fun cancel(id: String): ApiResponse {
        if (!JobWire.isJobId(id)) return NO_SUCH_JOB
        if (!stateServiceAvailable()) return finalStates.cached(id)?.let { cancelResponse(it, id) } ?: unavailable()
        repeat(CANCEL_ATTEMPTS) {
            tryCancel(id)?.let { return it }
        }
        return ApiResponse.retryLater("the job keeps changing")
    }

    private suspend fun admit(spec: JobSpec): ApiResponse {
        val record = JobRecords.encode(JobRecord(spec, clocks.now(), JobStatus.LIVE))
        admission.rejectionOf(spec, record)?.let { return rejectUnlessKnown(spec.id, it) }
        val commit = state.commit(
            listOf(Condition(Keys.job(spec.id), 0), Condition(Keys.final(spec.id), 0)),
            listOf(Change.Put(Keys.job(spec.id), record)),
        )
        return when (commit) {
            is Commit.Done -> ApiResponse.of(HttpStatus.CREATED, mapOf("uid" to spec.id, "status" to "queued"))
            is Commit.Failed -> poll(spec.id)
            is Commit.Refused -> OVERLOADED
            is Commit.Invalid -> rejectUnlessKnown(spec.id, JobAdmission.TOO_LARGE)
            else -> NO_RESPONSE
        }
    }

    /** A malformed resubmission of a known job gets the state of that job. */
    private suspend fun rejectMalformed(body: ByteArray, cause: MalformedException): ApiResponse {
        val rejection = Rejection(HttpStatus.BAD_REQUEST, cause.message.orEmpty())
        return JobWire.decodeJobId(body)?.let { rejectUnlessKnown(it, rejection) }
            ?: ApiResponse.error(rejection.status, rejection.message)
    }

    /** An accepted job stays accepted, even if it would be rejected today. */
    private suspend fun rejectUnlessKnown(id: String, reason: Rejection): ApiResponse {
        val known = poll(id)
        return if (known.status == HttpStatus.NOT_FOUND) ApiResponse.error(reason.status, reason.message) else known
    }

    /** Null if the job changed concurrently and the cancellation must be retried. */
    private suspend fun tryCancel(id: String): ApiResponse? {
        finalStates.cached(id)?.let { return cancelResponse(it, id) }
        return when (val job = state.get(Keys.job(id))) {
            is Outcome.Ok -> decodeRecord(job.value)?.let { cancelLive(id, it, job.value.version) ?: return null }
                ?: UNREADABLE_RECORD

            is Outcome.Gone -> finalResponse(id, ::cancelResponse)

            else -> NO_RESPONSE
        }
    }

    private suspend fun cancelLive(id: String, record: JobRecord, version: Long): ApiResponse? {
        if (record.status == JobStatus.CANCELLED) return confirmCancellation(id)
        cancellations.requested(id)
        val commit = state.commit(
            listOf(Condition(Keys.job(id), version)),
            listOf(Change.Put(Keys.job(id), admission.cancelledRecord(record))),
        )
        // The log entry is removed only if the transaction was definitely not carried out.
        if (commit is Commit.Failed || commit is Commit.Refused) cancellations.withdrawn(id)
        return when (commit) {
            is Commit.Done -> confirmCancellation(id)
            is Commit.Failed -> null
            is Commit.Refused -> OVERLOADED
            else -> NO_RESPONSE
        }
    }

    private fun confirmCancellation(id: String): ApiResponse {
        cancellations.confirmed(id)
        return cancelResponse(JobStatus.CANCELLED, id)
    }

    private suspend fun finalResponse(id: String, respond: (JobStatus, String) -> ApiResponse): ApiResponse =
        when (val status = finalStates.fetch(id)) {
            is Outcome.Ok -> respond(status.value, id)
            is Outcome.Gone -> NO_SUCH_JOB
            else -> NO_RESPONSE
        }

    private fun decodeRecord(entry: Entry): JobRecord? = Records.readOrNull(entry.key, entry.data, JobRecords::decode)

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

    private fun cancelResponse(status: JobStatus, id: String) =
        ApiResponse.of(HttpStatus.OK, JobWire.encodeCancellation(JobView(id, status, done = 0, running = 0)))

    private companion object {
        const val CANCEL_ATTEMPTS = 4
        val NO_SUCH_JOB = ApiResponse.error(HttpStatus.NOT_FOUND, "no such job")
        val NO_RESPONSE = ApiResponse.retryLater("no word from the state service")
        val OVERLOADED = ApiResponse.retryLater("too much is asked at the moment")

        /** The job exists, so 404 would be wrong; another controller may be able to read its record. */
        val UNREADABLE_RECORD = ApiResponse.retryLater("the job's record cannot be read")

        /** A call to the state service would only time out: the user gets 503 at once and is sent to another node. */
        fun unavailable() = ApiResponse.retryLater("no word from the state service", closeConnection = true)
    }
}
