package topazvale.api

import topazvale.model.JobRecord
import topazvale.model.JobSpec
import topazvale.model.MachineType
import topazvale.model.Resources
import topazvale.model.Team
import topazvale.net.HttpStatus
import topazvale.store.JobRecords
import topazvale.store.Records

/** Why a job is not accepted; [message] is fit for its user's eyes. */
class Refusal(val status: Int, val message: String)

/** Decides which jobs can run at all. [types] gives the machine types, null while they are not known yet. */
class JobAdmission(
    private val teams: Map<String, Team>,
    private val valueBytes: Int,
    private val types: () -> Collection<MachineType>?,
) {
    /** Whether the machine types are known, without which nothing can be decided. */
    val ready: Boolean get() = types() != null

    /** Why the job can never run, or not be kept; null for one that is accepted. Asked for only when [ready]. */
    fun refusal(spec: JobSpec, record: Map<String, Any?>): Refusal? {
        val reason = whyNeverRuns(spec)
        return when {
            reason != null -> Refusal(HttpStatus.UNPROCESSABLE, reason)
            Records.size(record) > valueBytes -> TOO_LARGE
            else -> null
        }
    }

    /** The record of a cancelled job, short enough to be stored. */
    fun cancelledRecord(record: JobRecord): Map<String, Any?> = JobRecords.encodeCancelled(record, valueBytes)

    private fun whyNeverRuns(spec: JobSpec): String? {
        val team = teams[spec.team] ?: return "unknown team"
        val fitting = types().orEmpty().filter { fits(spec, it) }
        return when {
            fitting.isEmpty() -> "a task fits no allowed machine type"
            !canSpread(spec, fitting) -> "too few zones to spread over"
            exceedsLimit(spec, team) -> "more than the team's limit"
            else -> null
        }
    }

    private fun fits(spec: JobSpec, type: MachineType): Boolean {
        val typeAllowed = spec.types == null || type.name in spec.types
        val zoneAllowed = spec.zone == null || spec.zone in type.zones
        return typeAllowed && zoneAllowed && spec.need.fitsIn(type.capacity)
    }

    /** An array's tasks may run one after another; a gang needs its zones at once. */
    private fun canSpread(spec: JobSpec, fitting: List<MachineType>): Boolean {
        if (!spec.isGang || !spec.spread || spec.tasks == 1) return true
        val zones = if (spec.zone != null) setOf(spec.zone) else fitting.flatMap { it.zones }.toSet()
        return !spec.oneZone && zones.size > 1
    }

    private fun exceedsLimit(spec: JobSpec, team: Team): Boolean {
        val wanted = spec.need * (if (spec.runsAllTasksAtOnce) spec.tasks else 1)
        val limit =
            Resources(team.limitCpus ?: Double.MAX_VALUE, team.limitGpus ?: Double.MAX_VALUE, Double.MAX_VALUE)
        return !wanted.fitsIn(limit)
    }

    companion object {
        val TOO_LARGE = Refusal(HttpStatus.BAD_REQUEST, "larger than the state service takes")
    }
}
