package topazvale.scheduler

import topazvale.model.Start

/** Frees capacity for a job on machines that are up by preempting lower ranks, with the least work lost. */
internal class Preemption {
    /** Capacity for [tasks] tasks on a candidate, and the victims that have to release it. */
    private class PreemptionOption(val candidate: Candidate, val tasks: Int, val victims: List<CapacityRelease>) {
        val cost =
            victims.sumOf { (it.lostWork?.inWholeMilliseconds ?: 0) + RESTART_COST_MS } * candidate.machine.type.price
        val zone get() = candidate.machine.market.zone
    }

    /**
     * Returns the tasks that have to stop so that [tasks] tasks of the job fit, or null if no preemption frees enough.
     * The capacity is taken from [candidates] at once, so that no job of lower rank uses it before this job starts.
     */
    fun preempt(job: WaitingJob, tasks: Int, candidates: List<Candidate>): List<Start>? {
        val groups = groups(job, candidates.filter { PlacementRules.allows(job.spec, it.machine) })
        val best = groups.mapNotNull { cheapestOptions(job, tasks, it) }
            .minByOrNull { it.sumOf(PreemptionOption::cost) } ?: return null
        for (option in best) {
            option.candidate.claim(option.victims)
            option.candidate.place(job.spec, option.tasks)
        }
        return best.flatMap { it.victims }.filter { !it.stopping }.mapNotNull { it.start }
    }

    /** Groups of candidates; all tasks of the job may be placed within one group. */
    private fun groups(job: WaitingJob, fitting: List<Candidate>): Collection<List<Candidate>> {
        if (!job.spec.oneZone) return listOf(fitting)
        return fitting.groupBy { it.machine.market.zone }
            .filterKeys { PlacementRules.remainingInZone(job.spec, job.placedByZone, it) > 0 }
            .values
    }

    /** The options with the lowest cost per task that together fit all tasks; null if the candidates do not suffice. */
    private fun cheapestOptions(job: WaitingJob, tasks: Int, candidates: List<Candidate>): List<PreemptionOption>? {
        val usable = candidates.filter { attainableTasks(job, it) > 0 }
        if (usable.sumOf { attainableTasks(job, it).toLong() } < tasks) return null
        val inZone = HashMap(job.placedByZone)
        val selected = ArrayList<PreemptionOption>()
        var remaining = tasks
        for (largest in usable.mapNotNull { option(job, tasks, it) }.sortedBy { it.cost / it.tasks }) {
            if (remaining == 0) break
            val maxTasks = minOf(remaining, PlacementRules.remainingInZone(job.spec, inZone, largest.zone))
            val option = if (largest.tasks <= maxTasks) largest else option(job, maxTasks, largest.candidate)
            if (option != null) {
                selected += option
                remaining -= option.tasks
                inZone.merge(option.zone, option.tasks, Int::plus)
            }
        }
        return selected.takeIf { remaining == 0 }
    }

    private fun attainableTasks(job: WaitingJob, candidate: Candidate) =
        minOf(job.spec.need.countFittingIn(candidate.attainableCapacity(job.spec)), candidate.startSlots)

    private fun option(job: WaitingJob, maxTasks: Int, candidate: Candidate): PreemptionOption? {
        val need = job.spec.need
        val tasks = minOf(maxTasks, attainableTasks(job, candidate))
        if (tasks <= 0) return null
        // Tasks that are stopping already cost nothing more.
        val (stopping, running) = candidate.victims(job.spec).partition { it.stopping }
        val victims = ArrayList<CapacityRelease>()
        var free = candidate.freeAfterReleases
        for (victim in stopping + running.sortedBy { it.lostWork }) {
            if (need.countFittingIn(free) >= tasks) break
            victims += victim
            free += victim.need
        }
        return PreemptionOption(candidate, tasks, victims)
    }

    private companion object {
        /** The minimum cost of a preemption: the victim has to be restarted. */
        const val RESTART_COST_MS = 5_000L
    }
}
