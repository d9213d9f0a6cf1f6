package topazvale.emulator

import topazvale.api.ApiResponse
import topazvale.config.Settings
import topazvale.model.Clocks
import topazvale.model.JobSpec
import topazvale.model.Market
import topazvale.model.Resources
import topazvale.net.HttpStatus
import topazvale.wire.Cbor
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/** A rule of the protocol that was broken, as seen from outside. */
data class Violation(val rule: String, val what: String, val at: Duration) {
    override fun toString() = "$rule: $what at $at"
}

/**
 * Judges the protocol's rules by what workers ran and users were told alone, at the moment at which each thing happens.
 * Used from one thread.
 */
class ProtocolObserver(private val settings: Settings, private val clocks: Clocks) {
    private class Told(val status: String, val since: ComparableTimeMark)

    private val began = clocks.mark()
    private val cancelLimit = settings.workers.cancelLimit

    /** For how long after its job was told to be done a task may still begin: a command may have been on its way. */
    var maxCommandDelay: Duration = cancelLimit

    /** The jobs whose descriptions users have uploaded. */
    val jobs = HashMap<String, JobSpec>()

    /** The broken rules, in the order in which they broke. */
    val violations = ArrayList<Violation>()

    /** Brings what is on machines up to date before it is judged; a busy process may be late with it. */
    var refresh: () -> Unit = {}

    /** How many tasks have been started on a machine. */
    var starts = 0
        private set

    /** Tasks that workers have begun after a user was told that their job is done. */
    val attemptsAfterDone = ArrayList<String>()
    private val results = HashSet<String>()
    private val told = HashMap<String, Told>()
    private val places = HashMap<String, MutableList<Place>>()

    private class Place(val host: String, val market: Market)

    /** The tasks that are on a machine. */
    val running: Set<String> get() = places.keys.toSet()

    /** How many tasks of the job are on a machine. */
    fun runningCount(id: String) = places.keys.count { it.startsWith("$id/") }

    /** Whether the task has completed somewhere: its result is kept. */
    fun hasResult(task: String) = task in results

    /** The task has completed. */
    fun recordCompletion(task: String) {
        results += task
    }

    /** All tasks of the job but the last one have completed, and nobody was told that it is over. */
    fun isAboutToFinish(spec: JobSpec) =
        !isFinished(spec.id) && (0 until spec.tasks).count { "${spec.id}/$it" !in results } <= 1

    /** The job is called done or cancelled. */
    fun isFinished(id: String) = told[id]?.status in FINAL

    /**
     * A worker begins a task, be it only to end it at once by the result that it has kept. Not one of the protocol's
     * rules, but no command is held up for as long as a cancellation may take, and nothing else begins work that is done.
     */
    fun recordAttempt(host: String, task: String) {
        val done = told[jobOf(task)]?.takeIf { it.status == DONE } ?: return
        val since = done.since.elapsedNow()
        val what = "$task begins on $host $since after its job was done"
        attemptsAfterDone += what
        if (since > maxCommandDelay) broken("ran_after_end", what)
    }

    /** A task is on a machine from now on. */
    fun recordStart(host: String, market: Market, task: String, spec: JobSpec) {
        starts++
        refresh()
        val on = places.getOrPut(task) { ArrayList() }
        if (on.isNotEmpty()) broken("ran_twice", "$task on $host while on ${on.map { it.host }}")
        on += Place(host, market)
        checkPlace(market, task, spec)
        val cancelledFor = cancelledFor(spec.id)
        if (cancelledFor != null && cancelledFor > cancelLimit) {
            broken("ran_cancelled", "$task starts $cancelledFor after its cancellation")
        }
        checkLimits(spec.team)
    }

    /** A task is on the machine no more. */
    fun recordStop(host: String, task: String) {
        val on = places[task] ?: return
        val place = on.firstOrNull { it.host == host } ?: return
        on -= place
        if (on.isEmpty()) places -= task
    }

    /** To be called regularly: cancelled tasks have to be gone in time. */
    fun checkCancellations() {
        for (task in places.keys) {
            val since = cancelledFor(jobOf(task)) ?: continue
            if (since > cancelLimit) broken("ran_cancelled", "$task is there $since after its cancellation")
        }
    }

    /**
     * A user got an answer about a job that was accepted before, to a request sent at [asked]; the status it tells, if
     * any. An answer may be older than another that came first, if it was asked for before that.
     */
    fun recordResponse(id: String, answer: ApiResponse, asked: ComparableTimeMark): String? {
        val status = if (answer.status in ACCEPTED) Cbor.decodeMap(answer.body)["status"] as String else null
        val known = told[id]
        val before = known?.status
        val older = known != null && asked < known.since && status !in FINAL
        if (answer.status in REFUSED && id in jobs) broken("forgotten", "$id gets ${answer.status}")
        if (status != null && before in FINAL && status != before &&
            !older
        ) {
            broken("went_back", "$id is $status after $before")
        }
        if (status == DONE && !isComplete(id)) broken("not_done", id)
        if (status != null && status in FINAL && before !in FINAL) told[id] = Told(status, clocks.mark())
        return status
    }

    private fun checkPlace(market: Market, task: String, spec: JobSpec) {
        val zones = places.filterKeys { jobOf(it) == spec.id }.values.flatten().map { it.market.zone }
        val excluded = (spec.zone != null && spec.zone != market.zone) || spec.types?.contains(market.type) == false
        if (excluded || (market.spot && !spec.spotAllowed)) broken("wrong_place", "$task on $market")
        if (spec.oneZone && zones.any { it != market.zone }) broken("wrong_place", "$task in ${market.zone} of $zones")
        if (zones.count { it == market.zone } > spec.zoneLimit) broken("wrong_place", "$task crowds ${market.zone}")
    }

    /** Whether the job's team may have one more of its tasks run. */
    fun isUnderLimit(spec: JobSpec): Boolean = !exceedsLimit(spec.team, usage(spec.team) + spec.need)

    private fun checkLimits(team: String) {
        val used = usage(team)
        if (exceedsLimit(team, used)) broken("quota", "$team uses ${used.cpus} CPUs and ${used.gpus} GPUs")
    }

    private fun usage(team: String): Resources {
        var used = Resources.NONE
        for ((task, on) in places) {
            val spec = jobs.getValue(jobOf(task))
            if (spec.team == team) used += spec.need * on.size
        }
        return used
    }

    private fun exceedsLimit(name: String, used: Resources): Boolean {
        val team = settings.teams.getValue(name)
        val overCpus = used.cpus > (team.limitCpus ?: Double.MAX_VALUE) + ROUNDING
        val overGpus = used.gpus > (team.limitGpus ?: Double.MAX_VALUE) + ROUNDING
        return overCpus || overGpus
    }

    private fun isComplete(id: String) = (0 until jobs.getValue(id).tasks).all { "$id/$it" in results }

    private fun cancelledFor(id: String): Duration? = told[id]?.takeIf { it.status == CANCELLED }?.since?.elapsedNow()

    private fun jobOf(task: String) = task.substringBeforeLast('/')

    private fun broken(rule: String, what: String) {
        val known = violations.any { it.rule == rule && it.what.substringBefore(' ') == what.substringBefore(' ') }
        // A cancelled task that stays would be named again at each check.
        if (rule == "ran_cancelled" && known) return
        violations += Violation(rule, what, began.elapsedNow())
    }

    private companion object {
        const val CANCELLED = "withdrawn"
        const val DONE = "done"
        const val ROUNDING = 1e-6
        val FINAL = setOf(DONE, CANCELLED)
        val ACCEPTED = HttpStatus.OK..HttpStatus.CREATED
        val REFUSED = setOf(HttpStatus.BAD_REQUEST, HttpStatus.NOT_FOUND, 422)
    }
}
