package topazvale.scheduler

import topazvale.model.JobSpec
import topazvale.model.Resources
import topazvale.model.Team

/** The resources that each team may still use under its limit, updated while a plan is made. */
internal class TeamQuota(private val snapshot: Snapshot) {
    private val remaining = snapshot.teams.mapValues { (name, team) -> unused(name, team) }.toMutableMap()

    /** How many tasks of the job its team may still start. */
    fun allowedTasks(spec: JobSpec): Int = remaining[spec.team]?.let(spec.need::countFittingIn) ?: 0

    /** Charges tasks of the job to its team. */
    fun charge(spec: JobSpec, tasks: Int) {
        remaining[spec.team] = remaining.getValue(spec.team) - spec.need * tasks
    }

    /**
     * While the snapshot's usage is incomplete, the tasks missing from it may belong to any team. Until they are gone,
     * no team that has a limit may start more tasks.
     */
    private fun unused(name: String, team: Team): Resources {
        val limited = team.limitCpus != null || team.limitGpus != null
        if (limited && !snapshot.usageComplete) return Resources.NONE
        return limit(team) - (snapshot.usage[name] ?: Resources.NONE)
    }

    /** Memory is not limited. */
    private fun limit(team: Team) =
        Resources(team.limitCpus ?: Double.MAX_VALUE, team.limitGpus ?: Double.MAX_VALUE, Double.MAX_VALUE)
}
