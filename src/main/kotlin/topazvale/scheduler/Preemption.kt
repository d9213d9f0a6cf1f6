package topazvale.scheduler

import topazvale.model.Start

/** Makes room for a job on machines that are up, at the expense of lower ranks, with the least work lost. */
internal class Preemption {
    private class Clearing(val candidate: Candidate, val tasks: Int, val victims: List<CapacityRelease>) {
        val cost = victims.sumOf { (it.lost?.inWholeMilliseconds ?: 0) + RESTART_MS } * candidate.machine.type.price
    }

    /**
     * What has to stop so that [tasks] tasks of the job fit; null where no stopping would do. The room is taken from
     * [candidates] at once, so that no lower rank moves in before the job does.
     */
    fun clear(job: WaitingJob, tasks: Int, candidates: List<Candidate>): List<Start>? {
        val fitting = candidates.filter { Placement.allows(job.spec, it.machine) }
        val fixed = job.placedIn.keys.firstOrNull()
        val groups = when {
            !job.spec.oneZone -> listOf(fitting)

            else -> fitting.groupBy {
                it.machine.market.zone
            }.filterKeys { fixed == null || it == fixed }.values.toList()
        }
        val best = groups.mapNotNull { cover(job, tasks, it) }.minByOrNull { it.sumOf(Clearing::cost) } ?: return null
        for (c in best) {
            c.candidate.claim(c.victims)
            c.candidate.take(job.spec, c.tasks)
        }
        return best.flatMap { c -> c.victims.filter { !it.stopping }.mapNotNull { it.start } }
    }

    private fun cover(job: WaitingJob, tasks: Int, candidates: List<Candidate>): List<Clearing>? {
        val within = candidates.filter { reached(job, it) > 0 }
        if (within.sumOf { reached(job, it).toLong() } < tasks) return null
        val inZone = HashMap(job.placedIn)
        val zoneLimit = job.spec.zoneLimit
        val picked = ArrayList<Clearing>()
        var left = tasks
        for (clearing in within.mapNotNull { clearing(job, tasks, it) }.sortedBy { it.cost / it.tasks }) {
            if (left == 0) break
            val zone = clearing.candidate.machine.market.zone
            val may = minOf(left, zoneLimit - (inZone[zone] ?: 0))
            if (may <= 0) continue
            picked += if (clearing.tasks <= may) clearing else clearing(job, may, clearing.candidate) ?: continue
            left -= picked.last().tasks
            if (job.spec.spread) inZone.merge(zone, picked.last().tasks, Int::plus)
        }
        return picked.takeIf { left == 0 }
    }

    private fun reached(job: WaitingJob, candidate: Candidate) = minOf(job.spec.need.timesIn(candidate.reach(job.spec)), candidate.starts)

    private fun clearing(job: WaitingJob, tasks: Int, candidate: Candidate): Clearing? {
        val need = job.spec.need
        val wanted = minOf(tasks, reached(job, candidate))
        if (wanted == 0) return null
        // What is stopping already costs nothing more.
        val (stopping, running) = candidate.victims(job.spec).partition { it.stopping }
        val taken = ArrayList<CapacityRelease>()
        var free = candidate.eventual
        for (v in stopping + running.sortedBy { it.lost }) {
            if (need.timesIn(free) >= wanted) break
            taken += v
            free += v.need
        }
        return Clearing(candidate, wanted, taken)
    }

    private companion object {
        /** What a stop costs at least: the victim has to be started anew. */
        const val RESTART_MS = 5_000L
    }
}
