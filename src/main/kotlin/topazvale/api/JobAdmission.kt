package topazvale.api

import topazvale.model.JobRecord
import topazvale.model.JobSpec
import topazvale.model.MachineType
import topazvale.model.Resources
import topazvale.model.Team
import topazvale.net.HttpStatus
import topazvale.store.JobRecords
import topazvale.store.Records

/** Why a job is rejected; [message] is shown to the user. */
class Rejection(val status: Int, val message: String)

/**
 * Admission check: rejects jobs that can never run. [machineTypes] returns null until the machine types have been read.
 */
class JobAdmission(
    private val teams: Map<String, Team>,
    private val valueBytes: Int,
    private val machineTypes: () -> Collection<MachineType>?,
) {
    /** Whether the machine types are known; admission cannot be decided without them. */
    val isReady: Boolean get() = machineTypes() != null

    /**
     * Why the job can never run, or why its record is too large to be stored; null if the job is accepted. Valid only
     * when [isReady].
     */
    fun rejectionOf(spec: JobSpec, record: Map<String, Any?>): Rejection? {
        val reason = rejectionReason(spec)
        return when {
            reason != null -> Rejection(HttpStatus.UNPROCESSABLE, reason)
            Records.size(record) > valueBytes -> TOO_LARGE
            else -> null
        }
    }

    /** The record of a cancelled job, shortened to fit the maximum value size. */
    fun cancelledRecord(record: JobRecord): Map<String, Any?> = JobRecords.encodeCancelled(record, valueBytes)

    private fun rejectionReason(spec: JobSpec): String? {
        val team = teams[spec.team] ?: return "unknown team"
        val fittingTypes = machineTypes().orEmpty().filter { canRunOn(spec, it) }
        return when {
            fittingTypes.isEmpty() -> "a task fits no allowed machine type"
            !canSatisfySpread(spec, fittingTypes) -> "too few zones to spread over"
            exceedsLimit(spec, team) -> "more than the team's limit"
            else -> null
        }
    }

    private fun canRunOn(spec: JobSpec, type: MachineType): Boolean {
        val typeAllowed = spec.types == null || type.name in spec.types
        val zoneAllowed = spec.zone == null || spec.zone in type.zones
        return typeAllowed && zoneAllowed && spec.need.fitsIn(type.capacity)
    }

    /** The tasks of an array may run one after another, whereas a gang needs all its zones at the same time. */
    private fun canSatisfySpread(spec: JobSpec, fittingTypes: List<MachineType>): Boolean {
        if (!spec.isGang || !spec.spread || spec.tasks == 1) return true
        val zones = if (spec.zone != null) setOf(spec.zone) else fittingTypes.flatMap { it.zones }.toSet()
        return !spec.oneZone && zones.size > 1
    }

    private fun exceedsLimit(spec: JobSpec, team: Team): Boolean {
        val requested = spec.need * (if (spec.runsAllTasksAtOnce) spec.tasks else 1)
        val limit =
            Resources(team.limitCpus ?: Double.MAX_VALUE, team.limitGpus ?: Double.MAX_VALUE, Double.MAX_VALUE)
        return !requested.fitsIn(limit)
    }

    companion object {
        val TOO_LARGE = Rejection(HttpStatus.BAD_REQUEST, "larger than the state service takes")
    }
}
