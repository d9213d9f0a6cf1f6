package topazvale.scheduler

import topazvale.model.JobSpec
import topazvale.model.Resources
import topazvale.model.Team

/** What each team may still use under its limit, while a plan is made. */
internal class TeamQuota(private val snapshot: Snapshot) {
    private val left = snapshot.teams.mapValues { (name, team) -> unused(name, team) }.toMutableMap()

    /** How many tasks of the job its team may still start. */
    fun tasks(spec: JobSpec): Int = left[spec.team]?.let(spec.need::countFittingIn) ?: 0

    /** Counts tasks of the job against its team. */
    fun take(spec: JobSpec, tasks: Int) {
        left[spec.team] = left.getValue(spec.team) - spec.need * tasks
    }

    /** What runs beside the known usage may be any team's: until it is gone, no team that has a limit gets more. */
    private fun unused(name: String, team: Team): Resources {
        val limited = team.limitCpus != null || team.limitGpus != null
        if (limited && !snapshot.usageComplete) return Resources.NONE
        return limit(team) - (snapshot.usage[name] ?: Resources.NONE)
    }

    /** Memory is not limited. */
    private fun limit(team: Team) =
        Resources(team.limitCpus ?: Double.MAX_VALUE, team.limitGpus ?: Double.MAX_VALUE, Double.MAX_VALUE)
}
