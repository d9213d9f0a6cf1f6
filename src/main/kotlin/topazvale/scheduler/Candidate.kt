package topazvale.scheduler

import topazvale.model.JobSpec
import topazvale.model.Rank
import topazvale.model.Resources

/**
 * A machine that tasks may be placed on, with what is left of it while a plan is made. [gpusWanted]: work with GPUs
 * waits.
 */
internal class Candidate(val machine: MachineState, private val gpusWanted: Boolean) {
    var free: Resources = machine.free
        private set

    /** Held for gangs that need more before they can start. */
    var held = Resources.NONE
        private set
    var starts: Int = machine.startSlots
        private set
    private var fetching: HashMap<String, Double>? = null

    /** Of the releases expected here, those that a job of this plan will use. */
    private val claimed = HashSet<CapacityRelease>()

    /** What those will give back. It is not there yet, so that [free] may be below nothing meanwhile. */
    private var promised = Resources.NONE

    /** What jobs of a rank, with or without GPUs, could have stopped; worked out once. */
    private data class Claimant(val rank: Rank, val usesGpus: Boolean)

    private val yielded = HashMap<Claimant, Resources>()

    /** How long a task would wait for its image. Images that are fetched at the same time share the rate. */
    fun fetchSeconds(spec: JobSpec): Double {
        val own = fetching
        val asked = spec.image in machine.fetchingImages || own?.containsKey(spec.image) == true
        if (!asked && spec.image in machine.images) return 0.0
        val queued = machine.fetchingImages.values.sum() + (own?.values?.sum() ?: 0.0)
        return (if (asked) queued else queued + spec.imageGb) / machine.type.fetchGbPerS
    }

    /** Whether another image is on its way: a second one would make both late. */
    fun fetchesOther(spec: JobSpec): Boolean =
        machine.fetchingImages.keys.any { it != spec.image } || fetching?.keys?.any { it != spec.image } == true

    /** Tasks of the job are placed here. */
    fun take(spec: JobSpec, tasks: Int) {
        free -= spec.need * tasks
        starts -= tasks
        if (spec.image in machine.images) return
        val images = fetching ?: HashMap<String, Double>().also { fetching = it }
        images[spec.image] = spec.imageGb
    }

    /** Reserved for replicas like [spec]; no other job may use it, nor does it count as free when renting. */
    fun keep(spec: JobSpec, tasks: Int) {
        free -= spec.need * tasks
    }

    /** Held from later jobs of this plan; free all the same when it is worked out what to rent. */
    fun hold(spec: JobSpec, tasks: Int) {
        val share = spec.need * tasks
        free -= share
        held += share
    }

    /**
     * What stops here, or may be stopped for a job, and is not claimed. Work with GPUs is stopped for work that has no
     * use for them only while none of it waits and only if its job has time: what is pressing has the first right to
     * the machine, would be back at once, and so on without end.
     */
    fun victims(spec: JobSpec): List<CapacityRelease> = machine.releases.value.filter {
        val spared = it.need.gpus > 0.0 && spec.need.gpus == 0.0 && (gpusWanted || it.mustStartNow)
        val yields = it.lostWork != null && it.rank < spec.rank && !spared
        (it.stopping || yields) && it !in claimed
    }

    /** All that there could be for a job. */
    fun reach(spec: JobSpec): Resources {
        val claimant = Claimant(spec.rank, spec.need.gpus > 0.0)
        return eventual + yielded.getOrPut(claimant) {
            victims(spec).fold(Resources.NONE) { sum, victim -> sum + victim.need }
        }
    }

    /** What will be free once the claimed releases have happened. */
    val eventual: Resources get() = free + promised

    /** A job of this plan will use what these give back. */
    fun claim(victims: List<CapacityRelease>) {
        claimed += victims
        for (victim in victims) promised += victim.need
        yielded.clear()
    }
}
