package topazvale.scheduler

import topazvale.model.JobSpec
import topazvale.model.Resources
import topazvale.model.Team

/** What each team may still use under its limit, while a plan is made. */
internal class Allowance(teams: Map<String, Team>, usage: Map<String, Resources>) {
    private val left = teams.mapValues { (name, team) -> limit(team) - (usage[name] ?: Resources.NONE) }.toMutableMap()

    /** How many tasks of the job its team may still start. */
    fun tasks(spec: JobSpec): Int = left[spec.team]?.let(spec.need::timesIn) ?: 0

    /** Counts tasks of the job against its team. */
    fun take(spec: JobSpec, tasks: Int) {
        left[spec.team] = left.getValue(spec.team) - spec.need * tasks
    }

    /** Memory is not limited. */
    private fun limit(team: Team) =
        Resources(team.limitCpus ?: Double.MAX_VALUE, team.limitGpus ?: Double.MAX_VALUE, Double.MAX_VALUE)
}
