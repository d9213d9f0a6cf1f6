package topazvale.scheduler

import topazvale.model.JobSpec
import topazvale.model.Rank
import topazvale.model.Resources
import topazvale.model.Start
import topazvale.model.Team
import kotlin.time.Duration

/** Room on one machine while a plan is being made. */
internal class Room(val machine: MachineState, var free: Resources, var starts: Int) {
    val images = machine.images.toHashSet()

    /** Of what ends here, that whose room is spoken for. */
    val stopped = HashSet<Ending>()

    fun take(spec: JobSpec, tasks: Int) {
        free -= spec.need * tasks
        starts -= tasks
        images += spec.image
    }
}

/** What a team may still use. */
internal class Allowance(teams: Map<String, Team>, usage: Map<String, Resources>) {
    private val left = teams.mapValues { (name, team) ->
        val used = usage[name] ?: Resources.NONE
        Resources(
            (team.limitCpus ?: Double.MAX_VALUE) - used.cpus,
            (team.limitGpus ?: Double.MAX_VALUE) - used.gpus,
            Double.MAX_VALUE,
        )
    }.toMutableMap()

    fun tasks(spec: JobSpec): Int = left[spec.team]?.let(spec.need::timesIn) ?: 0

    fun take(spec: JobSpec, tasks: Int) {
        left[spec.team] = left.getValue(spec.team) - spec.need * tasks
    }
}

/** Decides which waiting tasks go to which machines that are up. */
class Placement {
    private val preemption = Preemption()

    fun plan(s: Snapshot): Placing {
        val rooms = s.machines.filter { it.up }.map { Room(it, it.free, it.starts) }
        val allowance = Allowance(s.teams, s.usage)
        val assignments = ArrayList<Assignment>()
        val unplaced = ArrayList<WaitingJob>()
        val preempted = ArrayList<Start>()
        for (job in order(s)) {
            val may = minOf(job.pending, allowance.tasks(job.spec))
            if (may == 0 || (job.spec.isGang && may < job.pending)) continue
            val outcome = if (job.spec.rank >= Rank.URGENT) urgent(s, job, may, rooms) else Outcome(place(s, job, may, rooms))
            for ((room, count) in outcome.placed) {
                room.take(job.spec, count)
                assignments += Assignment(job.spec.id, room.machine.host, count)
            }
            preempted += outcome.stopped.orEmpty()
            val count = outcome.placed.sumOf { it.second }
            // What is bought for later needs counts against the limit as well: it could not be used otherwise.
            allowance.take(job.spec, may)
            if (count < may && outcome.stopped == null) unplaced += job.copy(pending = may - count)
        }
        return Placing(assignments, unplaced, preempted)
    }

    /** Where tasks go, and what is stopped for the others; null where nothing could be. */
    private class Outcome(val placed: List<Pair<Room, Int>>, val stopped: List<Start>? = null)

    /** A long fetch makes a start late: room is made where the image is at hand before any other room is taken. */
    private fun urgent(s: Snapshot, job: WaitingJob, may: Int, rooms: List<Room>): Outcome {
        for (choice in listOf(rooms.filter { fetchSeconds(job.spec, it) <= SHORT_FETCH_S }, rooms)) {
            val placed = place(s, job, may, choice)
            val left = may - placed.sumOf { it.second }
            if (left == 0) return Outcome(placed)
            val stopped = preemption.clear(job, left, choice - placed.map { it.first }.toSet())
            if (stopped != null) return Outcome(placed, stopped)
            if (placed.isNotEmpty()) return Outcome(placed)
        }
        return Outcome(emptyList())
    }

    private fun fetchSeconds(spec: JobSpec, room: Room) =
        if (spec.image in room.images) 0.0 else spec.imageGb / room.machine.type.fetchGbPerS

    /**
     * Higher ranks first, then what its team is guaranteed. Then those jobs that can still be in time, and of them the
     * ones with the least left to do: when more is asked than can be done, that brings most jobs home, where the
     * earliest deadline first would bring them all too late.
     */
    fun order(s: Snapshot): List<WaitingJob> = s.jobs.sortedWith(
        compareByDescending<WaitingJob> { it.spec.rank }
            .thenByDescending { it.withinGuarantee }
            .thenBy { if (it.deadline == null || s.now + it.estimate <= it.deadline) 0 else 1 }
            .thenBy { if (it.deadline == null) Duration.ZERO else it.estimate * it.pending }
            .thenBy { it.submitted },
    )

    private fun place(s: Snapshot, job: WaitingJob, may: Int, rooms: List<Room>): List<Pair<Room, Int>> {
        val fitting = rooms.filter { allows(job.spec, it.machine) && usable(job.spec, it, s.cpusPerGpu) > 0 }
        if (!job.spec.oneZone) return fill(job, may, fitting, s.cpusPerGpu)
        val fixed = job.placedIn.keys.firstOrNull()
        val byZone = fitting.groupBy { it.machine.market.zone }.filterKeys { fixed == null || it == fixed }
        return byZone.values.map { fill(job, may, it, s.cpusPerGpu) }.maxByOrNull { picked -> picked.sumOf { it.second } }.orEmpty()
    }

    private fun fill(job: WaitingJob, may: Int, rooms: List<Room>, perGpu: Double): List<Pair<Room, Int>> {
        val picked = ArrayList<Pair<Room, Int>>()
        val inZone = HashMap(job.placedIn)
        val zoneLimit = if (job.spec.spread) (job.spec.tasks + 1) / 2 else Int.MAX_VALUE
        var left = may
        for (room in rooms.sortedWith(preference(job.spec))) {
            if (left == 0) break
            val zone = room.machine.market.zone
            val count = minOf(left, usable(job.spec, room, perGpu), zoneLimit - (inZone[zone] ?: 0))
            if (count <= 0) continue
            picked += room to count
            inZone.merge(zone, count, Int::plus)
            left -= count
        }
        // A gang starts whole or not at all.
        return if (job.spec.isGang && left > 0) emptyList() else picked
    }

    private fun usable(spec: JobSpec, room: Room, perGpu: Double): Int =
        minOf(room.starts, spec.need.timesIn(openRoom(spec, room, perGpu)))

    private fun preference(spec: JobSpec) = compareBy<Room> { detour(spec, it) }
        // Always the same ones first: those at the end of the row become empty and go back.
        .thenBy { it.machine.type.price(it.machine.market.spot) }
        .thenBy { it.machine.host }

    /**
     * What it costs, in seconds, to use this machine and not a better one: the fetch of the image; urgent work
     * without GPUs, which takes what it needs and so stands in the way of work with them; a machine that could soon be returned, the dearer the worse; a steady
     * one, which is better left to those who may use no others.
     */
    private fun detour(spec: JobSpec, room: Room): Double {
        val m = room.machine
        val misplaced = if (spec.rank >= Rank.URGENT && spec.need.gpus == 0.0 && m.type.room.gpus > 0) MISPLACED_S else 0.0
        val idle = if (m.idleFor != null && room.free == m.free) IDLE_S else 0.0
        val steady = if (spec.spotAllowed && !m.market.spot) STEADY_S else 0.0
        return fetchSeconds(spec, room) + misplaced + idle + steady
    }

    companion object {
        fun allows(spec: JobSpec, m: MachineState): Boolean = allows(spec, m.market.type, m.market.zone, m.market.spot)

        fun allows(spec: JobSpec, type: String, zone: String, spot: Boolean): Boolean =
            (spec.types == null || type in spec.types) && (spec.zone == null || zone == spec.zone) &&
                (spec.spotAllowed || !spot)

        /** Of a machine with GPUs, ordinary work without any leaves the processors that its free GPUs will want. */
        internal fun openRoom(spec: JobSpec, room: Room, cpusPerGpu: Double): Resources {
            if (room.free.gpus <= 0.0 || spec.need.gpus > 0.0 || spec.rank >= Rank.URGENT) return room.free
            return room.free.copy(cpus = room.free.cpus - room.free.gpus * cpusPerGpu)
        }

        private const val MISPLACED_S = 1000.0
        private const val IDLE_S = 15.0
        private const val SHORT_FETCH_S = 5.0
        private const val STEADY_S = 5.0
    }
}
