package topazvale.scheduler

import topazvale.model.JobSpec
import topazvale.model.Rank
import topazvale.model.Resources
import topazvale.model.Team

/** Room on one machine while a plan is being made; [gpusWanted]: work with GPUs waits. */
internal class Candidate(val machine: MachineState, private val gpusWanted: Boolean) {
    var free: Resources = machine.free
        private set

    /** Kept from later jobs for one that needs more before it can start. */
    var held = Resources.NONE
        private set
    var starts: Int = machine.starts
        private set
    private var fetching: HashMap<String, Double>? = null

    /** Of what ends here, that whose room is spoken for. */
    private val claimed = HashSet<CapacityRelease>()

    /** What that will give back. It is not there yet, so that [free] may be below nothing meanwhile. */
    private var promised = Resources.NONE
    private val yielded = HashMap<Pair<Rank, Boolean>, Resources>()

    /** How long a task would wait for its image. Images that are fetched at the same time share the rate. */
    fun fetchSeconds(spec: JobSpec): Double {
        val own = fetching
        val asked = spec.image in machine.arriving || own?.containsKey(spec.image) == true
        if (!asked && spec.image in machine.images) return 0.0
        val queued = machine.arriving.values.sum() + (own?.values?.sum() ?: 0.0)
        return (if (asked) queued else queued + spec.imageGb) / machine.type.fetchGbPerS
    }

    /** Whether another image is on its way: a second one would make both late. */
    fun fetchesOther(spec: JobSpec): Boolean =
        machine.arriving.keys.any { it != spec.image } || fetching?.keys?.any { it != spec.image } == true

    fun take(spec: JobSpec, tasks: Int) {
        free -= spec.need * tasks
        starts -= tasks
        if (spec.image in machine.images) return
        val images = fetching ?: HashMap<String, Double>().also { fetching = it }
        images[spec.image] = spec.imageGb
    }

    /** Kept from all that is not the like of [spec], also when it is worked out what to rent. */
    fun keep(spec: JobSpec, tasks: Int) {
        free -= spec.need * tasks
    }

    fun hold(spec: JobSpec, tasks: Int) {
        val share = spec.need * tasks
        free -= share
        held += share
    }

    /**
     * What stops here, or may be stopped for a job, and is not spoken for. Work with GPUs is stopped for work that has no
     * use for them only while none of it waits and only if its job has time: what is pressing has the first right to the
     * machine, would be back at once, and so on without end.
     */
    fun victims(spec: JobSpec): List<CapacityRelease> = machine.releases.value.filter {
        val spared = it.need.gpus > 0.0 && spec.need.gpus == 0.0 && (gpusWanted || it.pressing)
        val yields = it.lost != null && it.rank < spec.rank && !spared
        (it.stopping || yields) && it !in claimed
    }

    /** The room that there could be for a job. */
    fun reach(spec: JobSpec): Resources = eventual + yielded.getOrPut(spec.rank to (spec.need.gpus > 0.0)) {
        victims(spec).fold(Resources.NONE) { sum, v -> sum + v.need }
    }

    val eventual: Resources get() = free + promised

    fun claim(victims: List<CapacityRelease>) {
        claimed += victims
        for (v in victims) promised += v.need
        yielded.clear()
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

/**
 * Jobs for which there was no room in this plan. Room only shrinks while a plan is made, so that another job that asks
 * for as much under the same conditions need not be tried.
 */
internal class FailedPlacements {
    private class Miss(val spec: JobSpec, val tasks: Int)

    private val failedPlacements = ArrayList<Miss>()

    fun covers(spec: JobSpec, tasks: Int) = failedPlacements.any { m ->
        m.tasks <= tasks && m.spec.need.fitsIn(spec.need) && m.spec.types == spec.types && m.spec.zone == spec.zone &&
            m.spec.oneZone == spec.oneZone && m.spec.spotAllowed == spec.spotAllowed && m.spec.rank >= spec.rank
    }

    fun add(spec: JobSpec, tasks: Int) {
        failedPlacements += Miss(spec, tasks)
    }
}
