package topazvale.scheduler

import topazvale.model.Start

/** Makes room for a job on machines that are up, at the expense of lower ranks, with the least work lost. */
internal class Preemption {
    private class Clearing(val room: Room, val tasks: Int, val victims: List<Ending>) {
        val cost = victims.sumOf { (it.lost?.inWholeMilliseconds ?: 0) + RESTART_MS } * room.machine.type.price
    }

    /**
     * What has to stop so that [tasks] tasks of the job fit; null where no stopping would do. The room is taken from
     * [rooms] at once, so that no lower rank moves in before the job does.
     */
    fun clear(job: WaitingJob, tasks: Int, rooms: List<Room>): List<Start>? {
        val fitting = rooms.filter { Placement.allows(job.spec, it.machine) }
        val fixed = job.placedIn.keys.firstOrNull()
        val groups = when {
            !job.spec.oneZone -> listOf(fitting)

            else -> fitting.groupBy {
                it.machine.market.zone
            }.filterKeys { fixed == null || it == fixed }.values.toList()
        }
        val best = groups.mapNotNull { cover(job, tasks, it) }.minByOrNull { it.sumOf(Clearing::cost) } ?: return null
        for (c in best) {
            c.room.speakFor(c.victims)
            c.room.take(job.spec, c.tasks)
        }
        return best.flatMap { c -> c.victims.filter { !it.stopping }.mapNotNull { it.start } }
    }

    private fun cover(job: WaitingJob, tasks: Int, rooms: List<Room>): List<Clearing>? {
        val within = rooms.filter { reached(job, it) > 0 }
        if (within.sumOf { reached(job, it).toLong() } < tasks) return null
        val inZone = HashMap(job.placedIn)
        val zoneLimit = job.spec.zoneLimit
        val picked = ArrayList<Clearing>()
        var left = tasks
        for (clearing in within.mapNotNull { clearing(job, tasks, it) }.sortedBy { it.cost / it.tasks }) {
            if (left == 0) break
            val zone = clearing.room.machine.market.zone
            val may = minOf(left, zoneLimit - (inZone[zone] ?: 0))
            if (may <= 0) continue
            picked += if (clearing.tasks <= may) clearing else clearing(job, may, clearing.room) ?: continue
            left -= picked.last().tasks
            if (job.spec.spread) inZone.merge(zone, picked.last().tasks, Int::plus)
        }
        return picked.takeIf { left == 0 }
    }

    private fun reached(job: WaitingJob, room: Room) = minOf(job.spec.need.timesIn(room.reach(job.spec)), room.starts)

    private fun clearing(job: WaitingJob, tasks: Int, room: Room): Clearing? {
        val need = job.spec.need
        val wanted = minOf(tasks, reached(job, room))
        if (wanted == 0) return null
        // What is stopping already costs nothing more.
        val (stopping, running) = room.victims(job.spec).partition { it.stopping }
        val taken = ArrayList<Ending>()
        var free = room.eventual
        for (v in stopping + running.sortedBy { it.lost }) {
            if (need.timesIn(free) >= wanted) break
            taken += v
            free += v.need
        }
        return Clearing(room, wanted, taken)
    }

    private companion object {
        /** What a stop costs at least: the victim has to be started anew. */
        const val RESTART_MS = 5_000L
    }
}
