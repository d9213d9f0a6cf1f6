package topazvale.scheduler

import topazvale.model.JobSpec

/** So many tasks of a job on a candidate. */
internal class Pick(val candidate: Candidate, val tasks: Int, val detour: Double)

/** Chooses machines for the tasks of one job among candidates with room; changes nothing. */
internal class CandidateSelection(private val snapshot: Snapshot, private val imageWaits: ImageWaits) {
    /**
     * A candidate with room for so many tasks. [detour]: what it costs, in seconds, to use it and not a better one;
     * [fetch] of that is the wait for the image.
     */
    private class Option(val candidate: Candidate, val tasks: Int, val fetch: Double, val detour: Double) {
        val host get() = candidate.machine.host
        val zone get() = candidate.machine.market.zone
    }

    /** Where up to [tasks] tasks of the job should go; a gang gets places for all of them or none. */
    fun select(job: WaitingJob, tasks: Int, candidates: List<Candidate>): List<Pick> {
        val patient = imageWaits.patient(job)
        val options = candidates.mapNotNull { option(job.spec, it, patient) }
        return when {
            job.spec.oneZone -> inOneZone(job, tasks, options)
            job.spec.isService -> apart(job, tasks, options)
            else -> fill(job, tasks, options)
        }
    }

    private fun option(spec: JobSpec, candidate: Candidate, patient: Boolean): Option? {
        if (!PlacementRules.allows(spec, candidate.machine)) return null
        val tasks = PlacementRules.usableTasks(spec, candidate, snapshot.cpusPerGpu)
        if (tasks == 0) return null
        val fetch = candidate.fetchSeconds(spec)
        if (patient && fetch > SHORT_FETCH_S && candidate.fetchesOther(spec)) return null
        return Option(candidate, tasks, fetch, fetch + detour(spec, candidate))
    }

    /** Beside the fetch of the image. */
    private fun detour(spec: JobSpec, candidate: Candidate): Double {
        val machine = candidate.machine
        val misplaced = if (PlacementRules.misplaced(spec, candidate)) MISPLACED_S else 0.0
        // A machine that could soon be returned. Capacity is reserved for replicas on idle machines too, and these
        // stay.
        val idle = if (machine.idleFor != null && candidate.free == machine.free && !spec.isService) IDLE_S else 0.0
        // A steady machine is better left to those who may use no others; replicas are better off on one.
        val wrongMarket = if (spec.spotAllowed && machine.market.spot == spec.isService) WRONG_MARKET_S else 0.0
        return misplaced + idle + wrongMarket
    }

    private fun inOneZone(job: WaitingJob, tasks: Int, options: List<Option>): List<Pick> {
        val fixed = job.placedByZone.keys.firstOrNull()
        val zones = options.groupBy { it.zone }.filterKeys { fixed == null || it == fixed }.values
        val whole = zones.filter { zone -> zone.sumOf { it.tasks } >= tasks }
        if (whole.isEmpty()) {
            val largest = zones.maxByOrNull { zone -> zone.sumOf { it.tasks } }
            return if (job.spec.isGang || largest == null) emptyList() else fill(job, tasks, largest)
        }
        // Of zones that are as good the fullest one: a larger gang may need the room of the others.
        return whole.sortedBy { zone -> zone.sumOf { it.tasks } }
            .map { fill(job, tasks, it) }
            .minBy { picks -> picks.sumOf { it.detour * it.tasks } }
    }

    /**
     * A machine or a zone that is lost should take as few replicas with it as can be; but to be served late, as the
     * image has to be fetched first, is worse.
     */
    private fun apart(job: WaitingJob, tasks: Int, options: List<Option>): List<Pick> {
        val inZone = HashMap(job.placedByZone)
        val onHost = HashMap(job.placedByHost)
        val picked = LinkedHashMap<Option, Int>()
        fun open(option: Option) =
            (picked[option] ?: 0) < option.tasks && (inZone[option.zone] ?: 0) < job.spec.zoneLimit

        fun cost(option: Option): Double {
            val shared = (onHost[option.host] ?: 0) * SHARED_MACHINE_S + (inZone[option.zone] ?: 0) * SHARED_ZONE_S
            return shared + option.detour
        }
        repeat(tasks) {
            val best = options.filter(::open)
                .minWithOrNull(compareBy({ PlacementRules.misplaced(job.spec, it.candidate) }, ::cost))
                ?: return@repeat
            picked.merge(best, 1, Int::plus)
            onHost.merge(best.host, 1, Int::plus)
            inZone.merge(best.zone, 1, Int::plus)
        }
        return picked.map { (option, count) -> Pick(option.candidate, count, option.detour) }
    }

    private fun fill(job: WaitingJob, tasks: Int, options: List<Option>): List<Pick> {
        val zones = ZoneLimit(job)
        val fetches = FetchLimit(job)
        val picks = ArrayList<Pick>()
        var left = tasks
        for (option in options.sortedBy { it.detour }) {
            if (left == 0) break
            val count = fetches.limit(option, left, minOf(left, option.tasks, zones.left(option.zone)))
            if (count > 0) {
                picks += Pick(option.candidate, count, option.detour)
                zones.take(option.zone, count)
                fetches.take(option, count)
                left -= count
            }
        }
        // A gang starts whole or not at all.
        return if (job.spec.isGang && left > 0) emptyList() else picks
    }

    /** How many tasks of a spread job may still go to each zone. */
    private class ZoneLimit(private val job: WaitingJob) {
        private val inZone = HashMap(job.placedByZone)

        fun left(zone: String): Int = if (job.spec.spread) job.spec.zoneLimit - (inZone[zone] ?: 0) else Int.MAX_VALUE

        fun take(zone: String, tasks: Int) {
            inZone.merge(zone, tasks, Int::plus)
        }
    }

    /**
     * How many tasks of an ordinary job should fetch their image for long, rather than wait for machines that have it.
     */
    private inner class FetchLimit(private val job: WaitingJob) {
        private var left: Int? = null

        fun limit(option: Option, wanted: Int, count: Int): Int {
            if (option.fetch <= SHORT_FETCH_S || !imageWaits.patient(job)) return count
            val most = left ?: imageWaits.fetching(job, wanted, option.fetch).also { left = it }
            return minOf(count, most)
        }

        fun take(option: Option, tasks: Int) {
            if (option.fetch > SHORT_FETCH_S) left = left?.minus(tasks)
        }
    }

    companion object {
        /** A fetch that is not worth a detour. */
        const val SHORT_FETCH_S = 5.0
        private const val MISPLACED_S = 1000.0
        private const val IDLE_S = 15.0
        private const val WRONG_MARKET_S = 5.0
        private const val SHARED_MACHINE_S = 8.0
        private const val SHARED_ZONE_S = 2.0
    }
}
