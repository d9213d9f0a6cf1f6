package topazvale.api

import org.slf4j.LoggerFactory
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
import topazvale.store.JobRecords
import topazvale.store.Keys
import topazvale.wire.Change
import topazvale.wire.Condition
import topazvale.wire.JobWire
import topazvale.wire.MalformedException
import kotlin.time.Clock

/** Why a job can never run; null for one that can. */
fun refusal(spec: JobSpec, teams: Map<String, Team>, types: Collection<MachineType>): String? {
    val team = teams[spec.team] ?: return "unknown team"
    val fits = types.any { type ->
        (spec.types == null || type.name in spec.types) && (spec.zone == null || spec.zone in type.zones) &&
            spec.need.fitsIn(type.room)
    }
    if (!fits) return "a task fits no allowed machine type"
    val wanted = spec.need * (if (spec.isGang) spec.tasks else 1)
    val limit = Resources(team.limitCpus ?: Double.MAX_VALUE, team.limitGpus ?: Double.MAX_VALUE, Double.MAX_VALUE)
    return if (wanted.fitsIn(limit)) null else "more than the team's limit"
}

/**
 * Answers users from the state service, so that no node can say something older than another has said. Only final
 * states, which never change, are answered from memory.
 */
class Users(
    private val state: StateService,
    private val teams: Map<String, Team>,
    /** False while other nodes get answers of the state service that this one does not get. */
    private val served: () -> Boolean,
    private val types: () -> Collection<MachineType>?,
) {
    private val log = LoggerFactory.getLogger(Users::class.java)
    private val displays = Displays(state)
    private val finals = object : LinkedHashMap<String, JobStatus>(64, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, JobStatus>) = size > FINALS_KEPT
    }

    suspend fun submit(body: ByteArray): Answer {
        val spec = try {
            JobWire.submission(body)
        } catch (e: MalformedException) {
            log.info("submission refused: {}", e.message)
            return Answer.error(400, e.message.orEmpty())
        }
        finals[spec.id]?.let { return view(it, spec.id) }
        if (!served()) return unserved()
        val known = types() ?: return Answer.later("machine types are not known yet")
        val refusal = refusal(spec, teams, known)
        // A job that was accepted stays accepted, even if it would be refused today.
        if (refusal != null) return poll(spec.id).let { if (it.status == 404) Answer.error(422, refusal) else it }
        val record = JobRecord(spec, Clock.System.now(), JobStatus.LIVE)
        val commit = state.commit(
            listOf(Condition(Keys.job(spec.id), 0), Condition(Keys.final(spec.id), 0)),
            listOf(Change.Put(Keys.job(spec.id), JobRecords.encode(record))),
        )
        return when (commit) {
            is Commit.Done -> Answer.of(201, mapOf("uid" to spec.id, "status" to "queued"))
            is Commit.Failed -> poll(spec.id)
            is Commit.Refused -> Answer.later("too much is asked at the moment")
            else -> Answer.later("no word from the state service")
        }
    }

    suspend fun poll(id: String): Answer {
        if (!JobWire.isId(id)) return Answer.error(404, "no such job")
        finals[id]?.let { return view(it, id) }
        if (!served()) return unserved()
        when (val job = state.get(Keys.job(id))) {
            is Outcome.Ok -> return live(id, JobRecords.decode(job.value.data))
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
        if (!served()) return finals[id]?.let { word(it, id) } ?: unserved()
        repeat(TRIES) {
            finals[id]?.let { return word(it, id) }
            when (val job = state.get(Keys.job(id))) {
                is Outcome.Ok -> {
                    val record = JobRecords.decode(job.value.data)
                    if (record.status == JobStatus.WITHDRAWN) return word(JobStatus.WITHDRAWN, id)
                    val commit = state.commit(
                        listOf(Condition(Keys.job(id), job.value.version)),
                        listOf(Change.Put(Keys.job(id), JobRecords.encode(record.copy(status = JobStatus.WITHDRAWN)))),
                    )
                    when (commit) {
                        is Commit.Done -> return word(JobStatus.WITHDRAWN, id)
                        // The job was completed meanwhile, or somebody else cancelled it.
                        is Commit.Failed -> return@repeat
                        else -> return Answer.later("no word from the state service")
                    }
                }
                is Outcome.Gone -> return when (val status = final(id)) {
                    is Outcome.Ok -> word(status.value, id)
                    is Outcome.Gone -> Answer.error(404, "no such job")
                    else -> Answer.later("no word from the state service")
                }
                else -> return Answer.later("no word from the state service")
            }
        }
        return Answer.later("the job keeps changing")
    }

    private suspend fun final(id: String): Outcome<JobStatus> = when (val found = state.get(Keys.final(id))) {
        is Outcome.Ok -> Outcome.Ok(JobRecords.decodeFinal(found.value.data).also { finals[id] = it })
        is Outcome.Gone -> Outcome.Gone
        is Outcome.Refused -> Outcome.Refused
        is Outcome.Unknown -> Outcome.Unknown
    }

    private suspend fun live(id: String, record: JobRecord): Answer {
        if (record.status == JobStatus.WITHDRAWN) return view(JobStatus.WITHDRAWN, id)
        val shown = displays.of(id)
        return Answer.of(200, JobWire.view(JobView(id, JobStatus.LIVE, shown?.done ?: 0, shown?.running ?: 0)))
    }

    /** A call would only run into its time limit: the user is told at once, and sent elsewhere. */
    private fun unserved() = Answer.later("no word from the state service", close = true)

    private fun view(status: JobStatus, id: String) = Answer.of(200, JobWire.view(JobView(id, status, 0, 0)))

    /** The answer to a cancellation. */
    private fun word(status: JobStatus, id: String) =
        Answer.of(200, JobWire.view(JobView(id, status, 0, 0)).filterKeys { it == "uid" || it == "status" })

    private companion object {
        const val FINALS_KEPT = 4096
        const val TRIES = 4
    }
}
