package topazvale.scheduler

import topazvale.model.JobSpec
import topazvale.model.Rank
import topazvale.model.Resources

/** What a job allows of a machine, and what it may use of it. */
internal object PlacementRules {
    /** Whether the job may run on the machine at all, whatever else runs there. */
    fun allows(spec: JobSpec, machine: MachineState): Boolean =
        allows(spec, machine.market.type, machine.market.zone, machine.market.spot)

    /** The same for any machine of a market. */
    fun allows(spec: JobSpec, type: String, zone: String, spot: Boolean): Boolean {
        val typeAllowed = spec.types == null || type in spec.types
        val zoneAllowed = spec.zone == null || zone == spec.zone
        return typeAllowed && zoneAllowed && (spec.spotAllowed || !spot)
    }

    /** Of a machine with GPUs, ordinary work without any leaves the processors that its free GPUs will want. */
    fun usableCapacity(spec: JobSpec, free: Resources, cpusPerGpu: Double): Resources {
        if (free.gpus <= 0.0 || spec.need.gpus > 0.0 || spec.rank >= Rank.URGENT) return free
        return free.copy(cpus = free.cpus - free.gpus * cpusPerGpu)
    }

    /** How many tasks of the job the candidate could take now. */
    fun usableTasks(spec: JobSpec, candidate: Candidate, cpusPerGpu: Double): Int =
        minOf(candidate.starts, spec.need.countFittingIn(usableCapacity(spec, candidate.free, cpusPerGpu)))

    /**
     * Urgent work without GPUs takes what it needs of a machine with them, and so stands in the way of work that needs
     * them.
     */
    fun misplaced(spec: JobSpec, candidate: Candidate): Boolean =
        spec.rank >= Rank.URGENT && spec.need.gpus == 0.0 && candidate.machine.type.capacity.gpus > 0
}
