package topazvale.scheduler

import topazvale.model.JobSpec
import topazvale.model.Rank
import topazvale.model.Resources
import kotlin.time.Duration.Companion.seconds

/** Which machines a job may run on, and how much of their capacity it may use. */
internal object PlacementRules {
    /** Whether the job's constraints allow the machine, regardless of its free capacity. */
    fun allows(spec: JobSpec, machine: MachineState): Boolean =
        allows(spec, machine.market.type, machine.market.zone, machine.market.spot)

    /** Whether the job's constraints allow the machines of a market. */
    fun allows(spec: JobSpec, type: String, zone: String, spot: Boolean): Boolean {
        val typeAllowed = spec.types == null || type in spec.types
        val zoneAllowed = spec.zone == null || zone == spec.zone
        return typeAllowed && zoneAllowed && (spec.spotAllowed || !spot)
    }

    /**
     * How many further tasks the job may have in [zone], given the number that are, or may be, in each zone. A job
     * bound to one zone may start nothing while its tasks may be in several: it is not known then which of them counts.
     */
    fun remainingInZone(spec: JobSpec, placedByZone: Map<String, Int>, zone: String): Int {
        val isBoundElsewhere = spec.oneZone && placedByZone.keys.any { it != zone }
        if (isBoundElsewhere) return 0
        return (spec.zoneLimit - (placedByZone[zone] ?: 0)).coerceAtLeast(0)
    }

    /**
     * Whether the job may use capacity that is reserved for work which may never arrive: replicas of a service, or work
     * with GPUs. It may if it has waited for long without any start.
     */
    fun mayUseReservations(job: WaitingJob, snapshot: Snapshot): Boolean =
        !job.hasStarted && snapshot.now - job.submitted > RESERVATION_THRESHOLD

    /** How many tasks of the job the candidate has capacity for now. */
    fun usableTasks(job: WaitingJob, candidate: Candidate, snapshot: Snapshot): Int =
        minOf(candidate.startSlots, job.spec.need.countFittingIn(usableCapacity(job, candidate.free, snapshot)))

    /** On a machine with GPUs, ordinary work without GPUs leaves the CPUs that the free GPUs will need. */
    private fun usableCapacity(job: WaitingJob, free: Resources, snapshot: Snapshot): Resources {
        val usesAll = job.spec.need.gpus > 0.0 || job.spec.rank >= Rank.URGENT || mayUseReservations(job, snapshot)
        if (free.gpus <= 0.0 || usesAll) return free
        return free.copy(cpus = free.cpus - free.gpus * snapshot.cpusPerGpu)
    }

    /**
     * Whether the job would waste GPUs of the machine: urgent work without GPUs uses all the capacity that it needs,
     * and so blocks work that needs the GPUs.
     */
    fun wastesGpus(spec: JobSpec, candidate: Candidate): Boolean =
        spec.rank >= Rank.URGENT && spec.need.gpus == 0.0 && candidate.machine.type.capacity.gpus > 0

    /** Shorter than a job may wait beside a machine that has room for it. */
    private val RESERVATION_THRESHOLD = 60.seconds
}
