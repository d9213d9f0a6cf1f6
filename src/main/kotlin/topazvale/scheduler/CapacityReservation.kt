package topazvale.scheduler

import topazvale.model.JobSpec
import topazvale.model.MachineType
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Capacity reserved for future replicas: those of a service that has just been submitted, or those lost with a machine.
 * A machine takes longer to boot than a replica may wait, so the replicas that arrive during a boot need capacity that
 * is free already.
 *
 * The reservation covers several zones, each with half of the required capacity, so that it also serves a spread
 * service and survives the loss of a zone.
 */
internal class CapacityReservation(
    private val load: ServiceLoad,
    snapshot: Snapshot,
    private val candidates: List<Candidate>,
) {
    private val spec = load.sampleSpec.copy(oneZone = false, spread = false)
    private val types = suitableTypes(snapshot.types.values)
    private val typeNames = types.mapTo(HashSet()) { it.name }
    private val zones = types.flatMap { it.zones }
        .filter { spec.zone == null || it == spec.zone }
        .distinct()
        .sorted()
        .take(MAX_ZONES)
    private val replicasPerZone = if (zones.size < 2) requiredReplicas() else (requiredReplicas() + 1) / 2
    private val reserved = LinkedHashMap<Candidate, Int>()
    private val missingByZone = LinkedHashMap<String, Int>()

    /** The machines on which capacity is reserved: they are not returned. */
    val hosts: Set<String> get() = reserved.keys.mapTo(HashSet()) { it.machine.host }

    /** Whether the reservation is for replicas like those of the job. */
    fun serves(other: JobSpec) =
        other.queue == spec.queue && other.need == spec.need && other.spotAllowed == spec.spotAllowed

    /** Reserves as much of the required capacity as is free on the candidates. */
    fun reserve() {
        for (zone in zones) missingByZone[zone] = reserveInZone(zone)
    }

    /** Frees the reserved capacity, so that a job that may use it can be placed. */
    fun release() {
        for ((candidate, tasks) in reserved) candidate.reserve(spec, -tasks)
        reserved.clear()
    }

    /** The replicas without reserved capacity, one job for each zone, for which machines have to be rented. */
    fun missingReplicas(now: Instant): List<WaitingJob> = missingByZone.filterValues { it > 0 }.map { (zone, tasks) ->
        WaitingJob(
            spec.copy(zone = zone),
            now,
            deadline = null,
            pendingTasks = tasks,
            placedByZone = emptyMap(),
            hasStarted = true,
            estimate = Duration.ZERO,
            withinGuarantee = false,
        )
    }

    private fun suitableTypes(all: Collection<MachineType>): List<MachineType> {
        val fitting = all.filter { spec.need.fitsIn(it.capacity) && (spec.types == null || it.name in spec.types) }
        return fitting.filter { it.capacity.gpus == 0.0 }.ifEmpty { fitting }
    }

    /** The replicas that arrive during a boot, and those of the largest service. */
    private fun requiredReplicas(): Int {
        val boot = types.maxOfOrNull { it.bootTime } ?: Duration.ZERO
        return ceil(load.replicasPerSecond * boot.toDouble(DurationUnit.SECONDS) * BOOT_TIME_FACTOR).toInt() +
            load.largestReplicaCount
    }

    /** Returns the number of replicas for which the zone has no free capacity. */
    private fun reserveInZone(zone: String): Int {
        var left = replicasPerZone
        for (candidate in candidates) {
            if (left == 0) break
            if (candidate.machine.market.zone == zone && isSuitable(candidate)) left -= reserveOn(candidate, left)
        }
        return left
    }

    private fun isSuitable(candidate: Candidate) =
        PlacementRules.allows(spec, candidate.machine) && candidate.machine.type.name in typeNames

    private fun reserveOn(candidate: Candidate, maxTasks: Int): Int {
        val tasks = minOf(maxTasks, candidate.startSlots, spec.need.countFittingIn(candidate.free))
        if (tasks <= 0) return 0
        candidate.reserve(spec, tasks)
        reserved[candidate] = tasks
        return tasks
    }

    private companion object {
        const val MAX_ZONES = 3

        /** Machines often take longer to boot than usual. */
        const val BOOT_TIME_FACTOR = 1.5
    }
}
