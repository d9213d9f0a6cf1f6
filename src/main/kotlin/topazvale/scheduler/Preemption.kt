package topazvale.scheduler

import topazvale.model.Start

/** Makes room for a job on machines that are up, at the expense of lower ranks, with the least work lost. */
internal class Preemption {
    /** Room for so many tasks on a candidate, and what has to stop for it. */
    private class Clearing(val candidate: Candidate, val tasks: Int, val victims: List<CapacityRelease>) {
        val cost = victims.sumOf { (it.lostWork?.inWholeMilliseconds ?: 0) + RESTART_MS } * candidate.machine.type.price
        val zone get() = candidate.machine.market.zone
    }

    /**
     * What has to stop so that [tasks] tasks of the job fit; null where no stopping would do. The room is taken from
     * [candidates] at once, so that no lower rank moves in before the job does.
     */
    fun clear(job: WaitingJob, tasks: Int, candidates: List<Candidate>): List<Start>? {
        val groups = groups(job, candidates.filter { PlacementRules.allows(job.spec, it.machine) })
        val best = groups.mapNotNull { cover(job, tasks, it) }.minByOrNull { it.sumOf(Clearing::cost) } ?: return null
        for (clearing in best) {
            clearing.candidate.claim(clearing.victims)
            clearing.candidate.take(job.spec, clearing.tasks)
        }
        return best.flatMap { it.victims }.filter { !it.stopping }.mapNotNull { it.start }
    }

    /** Candidates among which all tasks of the job may lie. */
    private fun groups(job: WaitingJob, fitting: List<Candidate>): Collection<List<Candidate>> {
        if (!job.spec.oneZone) return listOf(fitting)
        val fixed = job.placedByZone.keys.firstOrNull()
        return fitting.groupBy { it.machine.market.zone }.filterKeys { fixed == null || it == fixed }.values
    }

    private fun cover(job: WaitingJob, tasks: Int, candidates: List<Candidate>): List<Clearing>? {
        val within = candidates.filter { reachable(job, it) > 0 }
        if (within.sumOf { reachable(job, it).toLong() } < tasks) return null
        val inZone = HashMap(job.placedByZone)
        val picked = ArrayList<Clearing>()
        var left = tasks
        for (whole in within.mapNotNull { clearing(job, tasks, it) }.sortedBy { it.cost / it.tasks }) {
            if (left == 0) break
            val most = minOf(left, job.spec.zoneLimit - (inZone[whole.zone] ?: 0))
            val clearing = if (whole.tasks <= most) whole else clearing(job, most, whole.candidate)
            if (clearing != null) {
                picked += clearing
                left -= clearing.tasks
                if (job.spec.spread) inZone.merge(clearing.zone, clearing.tasks, Int::plus)
            }
        }
        return picked.takeIf { left == 0 }
    }

    private fun reachable(job: WaitingJob, candidate: Candidate) =
        minOf(job.spec.need.countFittingIn(candidate.reach(job.spec)), candidate.starts)

    private fun clearing(job: WaitingJob, tasks: Int, candidate: Candidate): Clearing? {
        val need = job.spec.need
        val wanted = minOf(tasks, reachable(job, candidate))
        if (wanted <= 0) return null
        // What is stopping already costs nothing more.
        val (stopping, running) = candidate.victims(job.spec).partition { it.stopping }
        val taken = ArrayList<CapacityRelease>()
        var free = candidate.eventual
        for (victim in stopping + running.sortedBy { it.lostWork }) {
            if (need.countFittingIn(free) >= wanted) break
            taken += victim
            free += victim.need
        }
        return Clearing(candidate, wanted, taken)
    }

    private companion object {
        /** What a stop costs at least: the victim has to be started anew. */
        const val RESTART_MS = 5_000L
    }
}
