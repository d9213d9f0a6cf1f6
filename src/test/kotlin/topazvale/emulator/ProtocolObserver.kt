package topazvale.emulator

import topazvale.api.ApiResponse
import topazvale.config.Settings
import topazvale.model.Clocks
import topazvale.model.JobSpec
import topazvale.model.Market
import topazvale.model.Resources
import topazvale.model.Start
import topazvale.net.HttpStatus
import topazvale.wire.Cbor
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/** A violation of a protocol rule, as observed from outside the controllers; [at] counts from the observer's start. */
data class Violation(val rule: String, val details: String, val at: Duration) {
    override fun toString() = "$rule: $details at $at"
}

/**
 * Checks the protocol's rules at the moment of each event. It relies only on what workers run and on the responses that
 * users receive. Not thread-safe: all calls come from one thread.
 */
class ProtocolObserver(private val settings: Settings, private val clocks: Clocks) {
    private class FinalStatus(val status: String, val since: ComparableTimeMark)

    private val startedAt = clocks.mark()
    private val cancelLimit = settings.workers.cancelLimit

    /** For how long a task may begin after a user was notified that its job is done: commands may be in transit. */
    var maxCommandDelay: Duration = cancelLimit

    /** The jobs whose descriptions users have uploaded. */
    val jobs = HashMap<String, JobSpec>()

    /** The violations in the order of their detection. */
    val violations = ArrayList<Violation>()

    /** Updates the tasks on machines before a check, since a busy process may apply lease expiry late. */
    var refresh: () -> Unit = {}

    /** The number of task starts on machines. */
    var starts = 0
        private set

    /** The number of task starts on machines after a user was notified that their job is cancelled. */
    var startsAfterCancellation = 0
        private set

    /** Descriptions of the attempts that workers began after a user was notified that the job is done. */
    val attemptsAfterDone = ArrayList<String>()
    private val results = HashSet<String>()
    private val finalStatuses = HashMap<String, FinalStatus>()
    private val placements = HashMap<String, MutableList<Placement>>()

    private class Placement(val host: String, val market: Market)

    /** The tasks that run on a machine. */
    val running: Set<String> get() = placements.keys.toSet()

    /** The number of the job's tasks that run on a machine. */
    fun runningCount(id: String) = placements.keys.count { it.startsWith("$id/") }

    /** Whether the task has completed on any machine and so has a stored result. */
    fun hasResult(task: String) = task in results

    /** Records that the task has completed. */
    fun recordCompletion(task: String) {
        results += task
    }

    /** Whether at most one task of the job has yet to complete and no user has received a final status for the job. */
    fun isAboutToFinish(spec: JobSpec) =
        !isFinished(spec.id) && (0 until spec.tasks).count { "${spec.id}/$it" !in results } <= 1

    /** Whether a user was notified that the job is done or cancelled. */
    fun isFinished(id: String) = finalStatuses[id]?.status in FINAL_STATUSES

    /**
     * Records that a worker begins a task, even if the task ends at once because its result is stored. An attempt after
     * the end of the job breaks no rule of the protocol by itself. After [maxCommandDelay] it is a violation: no
     * command is delayed for as long as a cancellation may take, and only a delayed command begins work that is done.
     */
    fun recordAttempt(host: String, task: String) {
        val done = finalStatuses[jobOf(task)]?.takeIf { it.status == DONE } ?: return
        val since = done.since.elapsedNow()
        val details = "$task begins on $host $since after its job was done"
        attemptsAfterDone += details
        if (since > maxCommandDelay) recordViolation("ran_after_end", details)
    }

    /** Records that a copy of a direct command, which was carried out and answered before, starts a task once more. */
    fun recordRepeatedStart(host: String, start: Start) =
        recordViolation("started_by_copy", "${start.task} on $host, attempt ${start.attempt}")

    /** Records that a task runs on a machine from now on. */
    fun recordStart(host: String, market: Market, task: String, spec: JobSpec) {
        starts++
        refresh()
        val current = placements.getOrPut(task) { ArrayList() }
        if (current.isNotEmpty()) recordViolation("ran_twice", "$task on $host while on ${current.map { it.host }}")
        current += Placement(host, market)
        checkPlacement(market, task, spec)
        val sinceCancellation = timeSinceCancellation(spec.id)
        if (sinceCancellation != null) startsAfterCancellation++
        if (sinceCancellation != null && sinceCancellation > cancelLimit) {
            recordViolation("ran_cancelled", "$task starts $sinceCancellation after its cancellation")
        }
        checkLimits(spec.team)
    }

    /** Records that a task no longer runs on the machine. */
    fun recordStop(host: String, task: String) {
        val current = placements[task] ?: return
        val placement = current.firstOrNull { it.host == host } ?: return
        current -= placement
        if (current.isEmpty()) placements -= task
    }

    /** Checks that cancelled tasks stop in time; to be called periodically. */
    fun checkCancellations() {
        for (task in placements.keys) {
            val since = timeSinceCancellation(jobOf(task)) ?: continue
            if (since > cancelLimit) recordViolation("ran_cancelled", "$task still runs $since after its cancellation")
        }
    }

    /**
     * Records the response that a user received about an accepted job, to a request sent at [sentAt]. Returns the job's
     * status in the response, if any. A response may be out of order: a status that is not final is allowed after a
     * final one if its request was sent before the final status arrived.
     */
    fun recordResponse(id: String, response: ApiResponse, sentAt: ComparableTimeMark): String? {
        val status = if (response.status in ACCEPTED_CODES) Cbor.decodeMap(response.body)["status"] as String else null
        val known = finalStatuses[id]
        val previousStatus = known?.status
        val outOfOrder = known != null && sentAt < known.since && status !in FINAL_STATUSES
        if (response.status in REJECTED_CODES && id in jobs) recordViolation("forgotten", "$id gets ${response.status}")
        if (status != null && previousStatus in FINAL_STATUSES && status != previousStatus &&
            !outOfOrder
        ) {
            recordViolation("went_back", "$id is $status after $previousStatus")
        }
        if (status == DONE && !isComplete(id)) recordViolation("not_done", id)
        if (status != null && status in FINAL_STATUSES && previousStatus !in FINAL_STATUSES) {
            finalStatuses[id] = FinalStatus(status, clocks.mark())
        }
        return status
    }

    private fun checkPlacement(market: Market, task: String, spec: JobSpec) {
        val zones = placements.filterKeys { jobOf(it) == spec.id }.values.flatten().map { it.market.zone }
        val excluded = (spec.zone != null && spec.zone != market.zone) || spec.types?.contains(market.type) == false
        if (excluded || (market.spot && !spec.spotAllowed)) recordViolation("wrong_place", "$task on $market")
        if (spec.oneZone && zones.any { it != market.zone }) {
            recordViolation("wrong_place", "$task in ${market.zone} while its job runs in $zones")
        }
        if (zones.count { it == market.zone } > spec.zoneLimit) {
            recordViolation("wrong_place", "$task exceeds the limit of its job in ${market.zone}")
        }
    }

    /** Whether one more task of the job would keep its team within the limit. */
    fun isUnderLimit(spec: JobSpec): Boolean = !exceedsLimit(spec.team, usage(spec.team) + spec.need)

    private fun checkLimits(team: String) {
        val used = usage(team)
        if (exceedsLimit(team, used)) recordViolation("quota", "$team uses ${used.cpus} CPUs and ${used.gpus} GPUs")
    }

    private fun usage(team: String): Resources {
        var used = Resources.NONE
        for ((task, current) in placements) {
            val spec = jobs.getValue(jobOf(task))
            if (spec.team == team) used += spec.need * current.size
        }
        return used
    }

    private fun exceedsLimit(name: String, used: Resources): Boolean {
        val team = settings.teams.getValue(name)
        val overCpus = used.cpus > (team.limitCpus ?: Double.MAX_VALUE) + ROUNDING_TOLERANCE
        val overGpus = used.gpus > (team.limitGpus ?: Double.MAX_VALUE) + ROUNDING_TOLERANCE
        return overCpus || overGpus
    }

    private fun isComplete(id: String) = (0 until jobs.getValue(id).tasks).all { "$id/$it" in results }

    private fun timeSinceCancellation(id: String): Duration? =
        finalStatuses[id]?.takeIf { it.status == CANCELLED }?.since?.elapsedNow()

    private fun jobOf(task: String) = task.substringBeforeLast('/')

    private fun recordViolation(rule: String, details: String) {
        val known =
            violations.any { it.rule == rule && it.details.substringBefore(' ') == details.substringBefore(' ') }
        // A cancelled task that stays would be reported again at each check.
        if (rule == "ran_cancelled" && known) return
        violations += Violation(rule, details, startedAt.elapsedNow())
    }

    private companion object {
        const val CANCELLED = "withdrawn"
        const val DONE = "done"
        const val ROUNDING_TOLERANCE = 1e-6
        val FINAL_STATUSES = setOf(DONE, CANCELLED)
        val ACCEPTED_CODES = HttpStatus.OK..HttpStatus.CREATED
        val REJECTED_CODES = setOf(HttpStatus.BAD_REQUEST, HttpStatus.NOT_FOUND, 422)
    }
}
