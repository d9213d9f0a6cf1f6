package topazvale.scheduler

import topazvale.model.JobSpec
import topazvale.model.Rank
import topazvale.model.Resources
import topazvale.model.Start
import kotlin.time.Duration.Companion.seconds

/** Decides which waiting tasks go to which machines that are up. */
class Placement(private val order: JobOrder = JobOrder()) {
    private val preemption = Preemption()

    fun plan(s: Snapshot): PlacementPlan = Plan(s).make()

    private inner class Plan(private val s: Snapshot) {
        private val gpusWanted = s.jobs.any { it.spec.need.gpus > 0.0 }
        private val all = s.machines.filter { it.up }
            // Always the same ones first: those at the end of the row become empty and go back.
            .sortedBy { it.type.price(it.market.spot) }
            .map { Candidate(it, gpusWanted) }

        /** Rooms that could hold the smallest of what waits. */
        private val open = ArrayList(all)

        /** Those without GPUs. */
        private val plain = all.filterTo(ArrayList()) { it.machine.type.capacity.gpus == 0.0 }
        private val smallest = s.jobs.map { it.spec.need }.reduceOrNull(::lesser) ?: Resources.NONE
        private val allowance = Allowance(s.teams, s.usage)
        private val failedPlacements = FailedPlacements()
        private val failedOnPlain = FailedPlacements()
        private val failedWithReservations = FailedPlacements()
        private val waits = ImageWaits(s)

        /** What is held for each gang, and is its own once it is tried again. */
        private val held = HashMap<String, List<Pair<Candidate, Int>>>()
        private val reservations = s.services.map { CapacityReservation(it, s, all) }

        /** Where tasks of jobs went in this plan whose place binds the rest of them. */
        private val put = HashMap<String, ArrayList<Pair<MachineState, Int>>>()
        private val assignments = ArrayList<Assignment>()
        private val unplaced = ArrayList<WaitingJob>()
        private val preempted = ArrayList<Start>()

        fun make(): PlacementPlan {
            val second = ArrayList<WaitingJob>()
            reservations.forEach { it.keep() }
            for (job in order.sorted(s)) {
                val allowed = minOf(job.pending, allowance.tasks(job.spec))
                if (allowed == 0 || (job.spec.isGang && allowed < job.pending)) continue
                val may = if (job.spec.isGang || !JobOrder.starving(job, s)) allowed else firstShare(allowed)
                val usesGpus = job.spec.need.gpus > 0.0
                val yields = gpusWanted && !JobOrder.starving(job, s) && !(usesGpus && pressing(job))
                val opened = reservations.filter { if (job.spec.isService) it.serves(job.spec) else waitsTooLong(job) }
                val left = when {
                    yields && usesGpus -> may
                    opened.isNotEmpty() -> inReserve(job, may, if (yields) plain else all, opened)
                    !yields -> attempt(job, may, open, failedPlacements)
                    else -> attempt(job, may, plain, failedOnPlain)
                }
                // What is bought for later needs counts against the limit as well: it could not be used otherwise.
                allowance.take(job.spec, may)
                if (left > 0) (if (yields) second else unplaced) += rest(job, left)
            }
            val every = ArrayList(all)
            for (job in second) {
                held.remove(job.spec.id)?.forEach { (candidate, tasks) -> candidate.hold(job.spec, -tasks) }
                val left = attempt(job, job.pending, every, failedPlacements)
                if (left > 0) unplaced += rest(job, left)
            }
            val changed = all.filter { it.free != it.machine.free }
            return PlacementPlan(
                assignments,
                unplaced,
                preempted,
                changed.associate { it.machine.host to it.free + it.held },
                reservations.flatMap { it.missing(s.now) },
                reservations.flatMapTo(HashSet()) { it.hosts },
            )
        }

        /** What was found full while room was kept need not be so for those to whom it is open. */
        private fun inReserve(job: WaitingJob, may: Int, candidates: List<Candidate>, opened: List<CapacityReservation>): Int {
            opened.forEach { it.release() }
            return attempt(job, may, ArrayList(candidates), if (job.spec.isService) FailedPlacements() else failedWithReservations).also {
                opened.forEach { it.keep() }
            }
        }

        /** Nobody is to wait for long beside room that is kept for what may come. */
        private fun waitsTooLong(job: WaitingJob) = !job.begun && s.now - job.submitted > RESERVATION_PATIENCE

        /**
         * What is left of a job, which may be tried again in this plan: what it has just got binds it as much as what it
         * had before. Without that an array bound to one zone began in two, and a spread one crowded a zone.
         */
        private fun rest(job: WaitingJob, left: Int): WaitingJob {
            val got = put.remove(job.spec.id) ?: return job.copy(pending = left)
            val placedIn = HashMap(job.placedIn)
            val placedOn = HashMap(job.placedOn)
            for ((machine, tasks) in got) {
                placedIn.merge(machine.market.zone, tasks, Int::plus)
                placedOn.merge(machine.host, tasks, Int::plus)
            }
            return job.copy(pending = left, placedIn = placedIn, placedOn = placedOn)
        }

        /**
         * Machines with GPUs belong first, whatever its rank, to work that can run nowhere else and has to start now to
         * be in time. Without that urgent work would have them all, as it always comes first.
         */
        private fun pressing(job: WaitingJob) = JobOrder.pressing(job.deadline, job.estimate, s.now)

        /** What goes before all others must not take all for itself. */
        private fun firstShare(tasks: Int) = (tasks + FIRST_SHARE_PART - 1) / FIRST_SHARE_PART

        /** The number of tasks for which there is no room, nor will be by what is stopped for them. */
        private fun attempt(job: WaitingJob, may: Int, open: MutableList<Candidate>, failedPlacements: FailedPlacements): Int {
            val least = if (job.spec.isGang) may else 1
            val fixed = job.spec.spread || job.placedIn.isNotEmpty()
            if (!fixed && failedPlacements.covers(job.spec, least)) return may
            // For urgent jobs something may still be stopped in a room that is full; a starving one comes before them.
            if (!JobOrder.starving(job, s) && job.spec.rank < Rank.URGENT) {
                open.removeAll { candidate -> candidate.starts <= 0 || !smallest.fitsIn(candidate.free) }
            }
            val left = if (job.spec.rank >=
                Rank.URGENT
            ) {
                urgent(job, may, open)
            } else {
                may - assign(job, place(job, may, open))
            }
            if (left > 0 && !fixed && !couldFetch(job, open)) failedPlacements.add(job.spec, least)
            if (left > 0 && job.spec.isGang) hold(job, may, open)
            return left
        }

        /** There is room for the like of it, and only this one waits for its image. */
        private fun couldFetch(job: WaitingJob, candidates: List<Candidate>) =
            waits.patient(job) && candidates.any { allows(job.spec, it.machine) && usable(job.spec, it, s.cpusPerGpu) > 0 }

        private fun assign(job: WaitingJob, picked: List<Pick>): Int {
            for (p in picked) {
                p.candidate.take(job.spec, p.tasks)
                if (job.spec.oneZone || job.spec.spread || job.spec.isService) {
                    put.getOrPut(job.spec.id) { ArrayList() } += p.candidate.machine to p.tasks
                }
                assignments += Assignment(job.spec.id, p.candidate.machine.host, p.tasks)
            }
            return picked.sumOf { it.tasks }
        }

        /**
         * A long fetch makes a start late: room is made where the image is at hand before any other room is taken. So
         * it is where the machines are of the right kind: on one with GPUs, work without any keeps several of them idle
         * for as long as it runs.
         */
        private fun urgent(job: WaitingJob, may: Int, open: List<Candidate>): Int {
            val right = open.filter { !misplaced(job.spec, it) }
            val near = right.filter { it.fetchSeconds(job.spec) <= SHORT_FETCH_S }
            for (choice in listOf(near, right, open).filter { it.isNotEmpty() }.distinctBy { it.size }) {
                val placed = place(job, may, choice)
                val left = may - assign(job, placed)
                if (left == 0) return 0
                val taken = placed.mapTo(HashSet()) { it.candidate }
                val stopped = preemption.clear(job, left, choice.filter { it !in taken })
                if (stopped != null) preempted += stopped
                if (stopped != null) return 0
                if (placed.isNotEmpty()) return left
            }
            return may
        }

        /**
         * A gang needs all its room at once, and what becomes free bit by bit would go to smaller jobs for ever. The
         * zone in which most could be had keeps it for the gang, if the rest is soon there or the gang has waited for
         * long. What could be stopped for it counts: a smaller gang would else have that stopped for itself.
         */
        private fun hold(job: WaitingJob, tasks: Int, open: List<Candidate>) {
            val fitting = open.filter { allows(job.spec, it.machine) }
            val zones = if (job.spec.oneZone) fitting.groupBy { it.machine.market.zone } else mapOf("" to fitting)
            val (zone, candidates) = zones.maxByOrNull { (_, candidates) -> candidates.sumOf { reached(job.spec, it) } } ?: return
            val soon = s.machines.sumOf { m ->
                val there = allows(job.spec, m) && (zone == "" || m.market.zone == zone)
                if (there) job.spec.need.timesIn(soonFree(m)) else 0
            }
            if (soon < tasks && s.now - job.submitted < JobOrder.PATIENCE) return
            var left = tasks
            val kept = ArrayList<Pair<Candidate, Int>>()
            for (candidate in candidates.sortedByDescending { fits(job.spec, it) }) {
                val count = minOf(left, reached(job.spec, candidate))
                if (count <= 0) continue
                candidate.hold(job.spec, count)
                kept += candidate to count
                left -= count
            }
            held[job.spec.id] = kept
        }

        private fun reached(spec: JobSpec, candidate: Candidate) = minOf(candidate.starts, spec.need.timesIn(candidate.reach(spec)))

        private fun soonFree(m: MachineState): Resources =
            if (!m.up) m.free else m.releases.value.filter { it.within <= SOON }.fold(m.free) { sum, e -> sum + e.need }

        private fun fits(spec: JobSpec, candidate: Candidate) = usable(spec, candidate, s.cpusPerGpu)

        private fun place(job: WaitingJob, may: Int, candidates: List<Candidate>): List<Pick> {
            val patient = waits.patient(job)
            val options = candidates.mapNotNull { candidate ->
                val tasks = if (allows(job.spec, candidate.machine)) usable(job.spec, candidate, s.cpusPerGpu) else 0
                val fetch = if (tasks > 0) candidate.fetchSeconds(job.spec) else 0.0
                if (tasks == 0 || (patient && fetch > SHORT_FETCH_S && candidate.fetchesOther(job.spec))) {
                    null
                } else {
                    Option(candidate, tasks, fetch, fetch + detour(job.spec, candidate))
                }
            }
            if (!job.spec.oneZone) return if (job.spec.isService) apart(job, may, options) else fill(job, may, options)
            val fixed = job.placedIn.keys.firstOrNull()
            val byZone = options.groupBy {
                it.candidate.machine.market.zone
            }.filterKeys { fixed == null || it == fixed }.values
            val whole = byZone.filter { zone -> zone.sumOf { it.tasks } >= may }
            if (whole.isEmpty()) {
                return if (job.spec.isGang) {
                    emptyList()
                } else {
                    byZone.maxByOrNull { zone ->
                        zone.sumOf { it.tasks }
                    }?.let { fill(job, may, it) }.orEmpty()
                }
            }
            // Of zones that are as good the fullest one: a larger gang may need the room of the others.
            return whole.sortedBy { zone -> zone.sumOf { it.tasks } }.map { fill(job, may, it) }
                .minBy { picked -> picked.sumOf { it.option.detour * it.tasks } }
        }

        /**
         * A machine or a zone that is lost should take as few replicas with it as can be; but to be served late, as the
         * image has to be fetched first, is worse.
         */
        private fun apart(job: WaitingJob, may: Int, options: List<Option>): List<Pick> {
            val inZone = HashMap(job.placedIn)
            val onHost = HashMap(job.placedOn)
            val zoneLimit = job.spec.zoneLimit
            val picked = LinkedHashMap<Option, Int>()
            repeat(may) {
                val best = options
                    .filter { (picked[it] ?: 0) < it.tasks && (inZone[it.candidate.machine.market.zone] ?: 0) < zoneLimit }
                    .minWithOrNull(
                        compareBy(
                            { misplaced(job.spec, it.candidate) },
                            {
                                (onHost[it.candidate.machine.host] ?: 0) * SHARED_MACHINE_S +
                                    (inZone[it.candidate.machine.market.zone] ?: 0) * SHARED_ZONE_S + it.detour
                            },
                        ),
                    ) ?: return@repeat
                picked.merge(best, 1, Int::plus)
                onHost.merge(best.candidate.machine.host, 1, Int::plus)
                inZone.merge(best.candidate.machine.market.zone, 1, Int::plus)
            }
            return picked.map { (option, tasks) -> Pick(option, tasks) }
        }

        private fun fill(job: WaitingJob, may: Int, options: List<Option>): List<Pick> {
            val picked = ArrayList<Pick>()
            val inZone = if (job.spec.spread) HashMap(job.placedIn) else HashMap()
            val zoneLimit = job.spec.zoneLimit
            var left = may
            var fetching = Int.MAX_VALUE
            for (option in options.sortedBy { it.detour }) {
                if (left == 0) break
                val zone = option.candidate.machine.market.zone
                val far = option.fetch > SHORT_FETCH_S
                if (far && fetching == Int.MAX_VALUE &&
                    waits.patient(job)
                ) {
                    fetching = waits.fetching(job, left, option.fetch)
                }
                val count = minOf(left, option.tasks, zoneLimit - (inZone[zone] ?: 0)).let {
                    if (far) minOf(it, fetching) else it
                }
                if (count <= 0) continue
                picked += Pick(option, count)
                if (job.spec.spread) inZone.merge(zone, count, Int::plus)
                if (far && fetching != Int.MAX_VALUE) fetching -= count
                left -= count
            }
            // A gang starts whole or not at all.
            return if (job.spec.isGang && left > 0) emptyList() else picked
        }
    }

    private class Option(val candidate: Candidate, val tasks: Int, val fetch: Double, val detour: Double)

    private class Pick(val option: Option, val tasks: Int) {
        val candidate get() = option.candidate
    }

    /**
     * What it costs, in seconds, to use this machine and not a better one, beside the fetch of the image: urgent work
     * without GPUs, which takes what it needs and so stands in the way of work with them; a machine that could soon be
     * returned; a steady one, which is better left to those who may use no others.
     */
    private fun detour(spec: JobSpec, candidate: Candidate): Double {
        val m = candidate.machine
        val misplaced = if (misplaced(spec, candidate)) MISPLACED_S else 0.0
        // Room is kept for replicas on machines that may well be idle, and stay.
        val idle = if (m.idleFor != null && candidate.free == m.free && !spec.isService) IDLE_S else 0.0
        // Replicas are better off where nothing is taken back.
        val steady = if (spec.spotAllowed && m.market.spot == spec.isService) STEADY_S else 0.0
        return misplaced + idle + steady
    }

    companion object {
        fun allows(spec: JobSpec, m: MachineState): Boolean = allows(spec, m.market.type, m.market.zone, m.market.spot)

        fun allows(spec: JobSpec, type: String, zone: String, spot: Boolean): Boolean =
            (spec.types == null || type in spec.types) && (spec.zone == null || zone == spec.zone) &&
                (spec.spotAllowed || !spot)

        /** Of a machine with GPUs, ordinary work without any leaves the processors that its free GPUs will want. */
        internal fun usableCapacity(spec: JobSpec, free: Resources, cpusPerGpu: Double): Resources {
            if (free.gpus <= 0.0 || spec.need.gpus > 0.0 || spec.rank >= Rank.URGENT) return free
            return free.copy(cpus = free.cpus - free.gpus * cpusPerGpu)
        }

        private fun usable(spec: JobSpec, candidate: Candidate, perGpu: Double): Int =
            minOf(candidate.starts, spec.need.timesIn(usableCapacity(spec, candidate.free, perGpu)))

        private fun misplaced(spec: JobSpec, candidate: Candidate) =
            spec.rank >= Rank.URGENT && spec.need.gpus == 0.0 && candidate.machine.type.capacity.gpus > 0

        private fun lesser(a: Resources, b: Resources) =
            Resources(minOf(a.cpus, b.cpus), minOf(a.gpus, b.gpus), minOf(a.memoryGb, b.memoryGb))

        private const val MISPLACED_S = 1000.0
        private const val IDLE_S = 15.0
        private const val SHORT_FETCH_S = 5.0
        private const val STEADY_S = 5.0
        private const val SHARED_MACHINE_S = 8.0
        private const val SHARED_ZONE_S = 2.0
        private const val FIRST_SHARE_PART = 4

        private val RESERVATION_PATIENCE = 60.seconds

        /** What will be free within this is worth holding other room for. */
        private val SOON = 30.seconds
    }
}
