package topazvale.scheduler

import topazvale.model.JobSpec
import topazvale.model.Rank
import topazvale.model.Resources

/**
 * A machine on which tasks may be placed, with its remaining capacity while a plan is made. [gpuWorkWaiting]: whether
 * any waiting job needs GPUs.
 */
internal class Candidate(val machine: MachineState, private val gpuWorkWaiting: Boolean) {
    /** Capacity that the plan may still use; negative while tasks are placed on claimed releases. */
    var free: Resources = machine.free
        private set

    /** Capacity held for gangs that need more before they can start. */
    var held = Resources.NONE
        private set
    var startSlots: Int = machine.startSlots
        private set

    /** Images that the tasks placed by this plan fetch, with their sizes in gigabytes. */
    private var plannedFetches: HashMap<String, Double>? = null

    /** The expected releases on this machine that a job of this plan will use. */
    private val claimed = HashSet<CapacityRelease>()

    /** The resources of the claimed releases. They are not released yet, so [free] may be negative meanwhile. */
    private var claimedCapacity = Resources.NONE

    /** What decides, besides the machine, which tasks a job may preempt. */
    private data class Preemptor(val rank: Rank, val usesGpus: Boolean)

    /** The resources of all victims for each kind of preempting job; a cache. */
    private val victimCapacity = HashMap<Preemptor, Resources>()

    /** How long a task waits for its image. Concurrent fetches share the machine's fetch rate. */
    fun fetchSeconds(spec: JobSpec): Double {
        val planned = plannedFetches
        val isFetching = spec.image in machine.fetchingImages || planned?.containsKey(spec.image) == true
        if (!isFetching && spec.image in machine.images) return 0.0
        val queuedGb = machine.fetchingImages.values.sum() + (planned?.values?.sum() ?: 0.0)
        return machine.type.fetchSeconds(if (isFetching) queuedGb else queuedGb + spec.imageGb)
    }

    /** Whether the machine fetches a different image: a second concurrent fetch would delay both. */
    fun fetchesOtherImage(spec: JobSpec): Boolean =
        machine.fetchingImages.keys.any { it != spec.image } || plannedFetches?.keys?.any { it != spec.image } == true

    /** Uses capacity and start slots for tasks of the job, and notes the fetch of its image. */
    fun place(spec: JobSpec, tasks: Int) {
        free -= spec.need * tasks
        startSlots -= tasks
        if (spec.image in machine.images) return
        val images = plannedFetches ?: HashMap<String, Double>().also { plannedFetches = it }
        images[spec.image] = spec.imageGb
    }

    /**
     * Reserves capacity for replicas like [spec]: other jobs may not use it, and the provisioner does not count it as
     * free. A negative number of tasks cancels a reservation.
     */
    fun reserve(spec: JobSpec, tasks: Int) {
        free -= spec.need * tasks
    }

    /**
     * Holds capacity back from later jobs of this plan; the provisioner still counts it as free. A negative number of
     * tasks cancels a hold.
     */
    fun hold(spec: JobSpec, tasks: Int) {
        val share = spec.need * tasks
        free -= share
        held += share
    }

    /**
     * The unclaimed releases that a job could use: tasks that are stopping already, and tasks that it may preempt.
     *
     * A job without GPUs preempts a task with GPUs only while no work with GPUs waits, and only if the task's job can
     * still start later and meet its deadline. A job that must start now has priority on the machine: it would be
     * placed there again at once and be preempted again, in an endless cycle.
     */
    fun victims(spec: JobSpec): List<CapacityRelease> = machine.releases.value.filter {
        val isProtected = it.need.gpus > 0.0 && spec.need.gpus == 0.0 && (gpuWorkWaiting || it.mustStartNow)
        val isPreemptible = it.lostWork != null && it.rank < spec.rank && !isProtected
        (it.stopping || isPreemptible) && it !in claimed
    }

    /** The most capacity that the job could get here: free, claimed, and released by its victims. */
    fun attainableCapacity(spec: JobSpec): Resources {
        val preemptor = Preemptor(spec.rank, spec.need.gpus > 0.0)
        return freeAfterReleases + victimCapacity.getOrPut(preemptor) {
            victims(spec).fold(Resources.NONE) { sum, victim -> sum + victim.need }
        }
    }

    /** The capacity that will be free after the claimed releases. */
    val freeAfterReleases: Resources get() = free + claimedCapacity

    /** Claims the capacity that the victims will release for a job of this plan. */
    fun claim(victims: List<CapacityRelease>) {
        claimed += victims
        for (victim in victims) claimedCapacity += victim.need
        victimCapacity.clear()
    }
}
