package topazvale.api

import org.slf4j.LoggerFactory
import topazvale.mesh.CancellationLog
import topazvale.model.Clocks
import topazvale.model.JobRecord
import topazvale.model.JobSpec
import topazvale.model.JobStatus
import topazvale.model.JobView
import topazvale.model.MachineType
import topazvale.model.Resources
import topazvale.model.Team
import topazvale.state.Commit
import topazvale.state.Outcome
import topazvale.state.StateService
import topazvale.store.TaskCountRecord
import topazvale.store.JobRecords
import topazvale.store.Keys
import topazvale.store.Records
import topazvale.wire.Change
import topazvale.wire.Condition
import topazvale.wire.Entry
import topazvale.wire.JobWire
import topazvale.wire.MalformedException

/** Why a job can never run; null for one that can. */
fun refusal(spec: JobSpec, teams: Map<String, Team>, types: Collection<MachineType>): String? {
    val team = teams[spec.team] ?: return "unknown team"
    val fitting = types.filter { type ->
        (spec.types == null || type.name in spec.types) && (spec.zone == null || spec.zone in type.zones) &&
            spec.need.fitsIn(type.capacity)
    }
    if (fitting.isEmpty()) return "a task fits no allowed machine type"
    // An array's tasks may run one after another; a gang needs its zones at once.
    val zones = if (spec.zone != null) setOf(spec.zone) else fitting.flatMap { it.zones }.toSet()
    if (spec.isGang && spec.tasks > 1 && spec.spread &&
        (spec.oneZone || zones.size < 2)
    ) {
        return "too few zones to spread over"
    }
    val wanted = spec.need * (if (spec.wholly) spec.tasks else 1)
    val limit = Resources(team.limitCpus ?: Double.MAX_VALUE, team.limitGpus ?: Double.MAX_VALUE, Double.MAX_VALUE)
    return if (wanted.fitsIn(limit)) null else "more than the team's limit"
}

/**
 * Answers users from the state service, so that no node can say something older than another has said. Only final
 * states, which never change, are answered from memory.
 */
class SubmissionApi(
    private val state: StateService,
    private val teams: Map<String, Team>,
    private val cancellations: CancellationLog,
    private val valueBytes: Int,
    private val clocks: Clocks,
    /** False while other nodes get answers of the state service that this one does not get. */
    private val served: () -> Boolean,
    private val types: () -> Collection<MachineType>?,
) {
    private val log = LoggerFactory.getLogger(SubmissionApi::class.java)
    private val taskCounts = TaskCounts(state, clocks)
    private val finals = object : LinkedHashMap<String, JobStatus>(64, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, JobStatus>) = size > FINALS_KEPT
    }

    suspend fun submit(body: ByteArray): Answer {
        val spec = try {
            JobWire.submission(body)
        } catch (e: MalformedException) {
            log.info("submission refused: {}", e.message)
            return malformed(body, e)
        }
        finals[spec.id]?.let { return view(it, spec.id) }
        if (!served()) return unserved()
        val known = types() ?: return Answer.later("machine types are not known yet")
        val refusal = refusal(spec, teams, known)
        if (refusal != null) return knownOr(spec.id, Answer.error(422, refusal))
        val record = JobRecords.encode(JobRecord(spec, clocks.now(), JobStatus.LIVE))
        if (Records.size(record) > valueBytes) return knownOr(spec.id, TOO_LARGE)
        val commit = state.commit(
            listOf(Condition(Keys.job(spec.id), 0), Condition(Keys.final(spec.id), 0)),
            listOf(Change.Put(Keys.job(spec.id), record)),
        )
        return when (commit) {
            is Commit.Done -> Answer.of(201, mapOf("uid" to spec.id, "status" to "queued"))
            is Commit.Failed -> poll(spec.id)
            is Commit.Refused -> Answer.later("too much is asked at the moment")
            is Commit.Invalid -> knownOr(spec.id, TOO_LARGE)
            else -> Answer.later("no word from the state service")
        }
    }

    /** A job that is known is answered for, whatever a repeated submission of it now says. */
    private suspend fun malformed(body: ByteArray, e: MalformedException): Answer {
        val refused = Answer.error(400, e.message.orEmpty())
        return JobWire.idOf(body)?.let { knownOr(it, refused) } ?: refused
    }

    /** A job that was accepted stays accepted, even if it would be refused today: only one that is not known is. */
    private suspend fun knownOr(id: String, refused: Answer): Answer = poll(id).let {
        if (it.status ==
            404
        ) {
            refused
        } else {
            it
        }
    }

    suspend fun poll(id: String): Answer {
        if (!JobWire.isId(id)) return Answer.error(404, "no such job")
        finals[id]?.let { return view(it, id) }
        if (!served()) return unserved()
        // The counts come first: after the job itself nothing is waited for, so that what is said of it is not overtaken
        // by a cancellation meanwhile.
        val shown = taskCounts.of(id)
        when (val job = state.get(Keys.job(id))) {
            is Outcome.Ok -> return record(job.value)?.let { live(id, it, shown) } ?: unreadable()
            is Outcome.Gone -> Unit
            else -> return Answer.later("no word from the state service")
        }
        return when (val status = final(id)) {
            is Outcome.Ok -> view(status.value, id)
            is Outcome.Gone -> Answer.error(404, "no such job")
            else -> Answer.later("no word from the state service")
        }
    }

    suspend fun cancel(id: String): Answer {
        if (!JobWire.isId(id)) return Answer.error(404, "no such job")
        if (!served()) return finals[id]?.let { cancelAnswer(it, id) } ?: unserved()
        repeat(TRIES) {
            finals[id]?.let { return cancelAnswer(it, id) }
            when (val job = state.get(Keys.job(id))) {
                is Outcome.Ok -> {
                    val record = record(job.value) ?: return unreadable()
                    if (record.status == JobStatus.CANCELLED) {
                        cancellations.told(id)
                        return cancelAnswer(JobStatus.CANCELLED, id)
                    }
                    cancellations.asked(id)
                    val commit = state.commit(
                        listOf(Condition(Keys.job(id), job.value.version)),
                        listOf(Change.Put(Keys.job(id), JobRecords.encodeCancelled(record, valueBytes))),
                    )
                    when (commit) {
                        is Commit.Done -> {
                            cancellations.told(id)
                            return cancelAnswer(JobStatus.CANCELLED, id)
                        }

                        // The job was completed meanwhile, or somebody else cancelled it.
                        is Commit.Failed -> {
                            cancellations.dropped(id)
                            return@repeat
                        }

                        is Commit.Refused -> {
                            cancellations.dropped(id)
                            return Answer.later("too much is asked at the moment")
                        }

                        else -> return Answer.later("no word from the state service")
                    }
                }

                is Outcome.Gone -> return when (val status = final(id)) {
                    is Outcome.Ok -> cancelAnswer(status.value, id)
                    is Outcome.Gone -> Answer.error(404, "no such job")
                    else -> Answer.later("no word from the state service")
                }

                else -> return Answer.later("no word from the state service")
            }
        }
        return Answer.later("the job keeps changing")
    }

    private suspend fun final(id: String): Outcome<JobStatus> = when (val found = state.get(Keys.final(id))) {
        is Outcome.Ok -> Records.readOrNull(found.value.key, found.value.data, JobRecords::decodeFinal)
            ?.let { Outcome.Ok(it.also { status -> finals[id] = status }) } ?: Outcome.Unknown

        is Outcome.Gone -> Outcome.Gone

        is Outcome.Refused -> Outcome.Refused

        is Outcome.Unknown -> Outcome.Unknown
    }

    private fun record(entry: Entry): JobRecord? = Records.readOrNull(entry.key, entry.data, JobRecords::decode)

    /** The job is there, so that a user must not hear that it is not; what became of it another node may know. */
    private fun unreadable() = Answer.later("the job's record cannot be read")

    private fun live(id: String, record: JobRecord, shown: TaskCountRecord?): Answer {
        if (record.status == JobStatus.CANCELLED) {
            cancellations.told(id)
            return view(JobStatus.CANCELLED, id)
        }
        return Answer.of(200, JobWire.view(JobView(id, JobStatus.LIVE, shown?.done ?: 0, shown?.running ?: 0)))
    }

    /** A call would only run into its time limit: the user is told at once, and sent elsewhere. */
    private fun unserved() = Answer.later("no word from the state service", close = true)

    private fun view(status: JobStatus, id: String) = Answer.of(200, JobWire.view(JobView(id, status, 0, 0)))

    /** The answer to a cancellation. */
    private fun cancelAnswer(status: JobStatus, id: String) =
        Answer.of(200, JobWire.view(JobView(id, status, 0, 0)).filterKeys { it == "uid" || it == "status" })

    private companion object {
        const val FINALS_KEPT = 4096
        const val TRIES = 4
        val TOO_LARGE = Answer.error(400, "larger than the state service takes")
    }
}
