package topazvale.scheduler

import topazvale.model.JobSpec
import topazvale.model.MachineType
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Capacity kept free for replicas to come: those of a service just submitted, or those of a machine that was lost. A
 * machine takes longer to come up than anybody may wait for a replica, so that what comes in that time has to find
 * room.
 *
 * It lies in several zones, each with half of what is needed, so that a spread service, or the loss of a zone, finds it
 * too.
 */
internal class CapacityReservation(
    private val load: ServiceLoad,
    snapshot: Snapshot,
    private val candidates: List<Candidate>,
) {
    private val spec = load.sampleSpec.copy(oneZone = false, spread = false)
    private val types = reservedTypes(snapshot.types.values)
    private val typeNames = types.mapTo(HashSet()) { it.name }
    private val zones = types.flatMap { it.zones }
        .filter { spec.zone == null || it == spec.zone }
        .distinct()
        .sorted()
        .take(MOST_ZONES)
    private val perZone = if (zones.size < 2) wanted() else (wanted() + 1) / 2
    private val kept = LinkedHashMap<Candidate, Int>()
    private val missing = LinkedHashMap<String, Int>()

    /** The machines on which capacity is reserved: they do not go back. */
    val hosts: Set<String> get() = kept.keys.mapTo(HashSet()) { it.machine.host }

    /** Whether the reservation is for replicas like those of the job. */
    fun serves(other: JobSpec) =
        other.queue == spec.queue && other.need == spec.need && other.spotAllowed == spec.spotAllowed

    /** Takes from the candidates what is to be reserved, as far as it is free. */
    fun keep() {
        for (zone in zones) missing[zone] = keepIn(zone)
    }

    /** Gives it back, so that a job to which it is open may be placed. */
    fun release() {
        for ((candidate, tasks) in kept) candidate.keep(spec, -tasks)
        kept.clear()
    }

    /** What has to be rented for, zone by zone. */
    fun missing(now: Instant): List<WaitingJob> = missing.filterValues { it > 0 }.map { (zone, tasks) ->
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

    private fun reservedTypes(all: Collection<MachineType>): List<MachineType> {
        val fitting = all.filter { spec.need.fitsIn(it.capacity) && (spec.types == null || it.name in spec.types) }
        return fitting.filter { it.capacity.gpus == 0.0 }.ifEmpty { fitting }
    }

    /** What comes during a boot, and the largest service. */
    private fun wanted(): Int {
        val boot = types.maxOfOrNull { it.bootTime } ?: Duration.ZERO
        return ceil(load.replicasPerSecond * boot.toDouble(DurationUnit.SECONDS) * SPARE).toInt() +
            load.largestReplicaCount
    }

    /** The number of replicas for which nothing is free in the zone. */
    private fun keepIn(zone: String): Int {
        var left = perZone
        for (candidate in candidates) {
            if (left == 0) break
            if (candidate.machine.market.zone == zone && isSuitable(candidate)) left -= keepOn(candidate, left)
        }
        return left
    }

    private fun isSuitable(candidate: Candidate) =
        PlacementRules.allows(spec, candidate.machine) && candidate.machine.type.name in typeNames

    private fun keepOn(candidate: Candidate, most: Int): Int {
        val tasks = minOf(most, candidate.starts, spec.need.countFittingIn(candidate.free))
        if (tasks <= 0) return 0
        candidate.keep(spec, tasks)
        kept[candidate] = tasks
        return tasks
    }

    private companion object {
        const val MOST_ZONES = 3

        /** Machines often take longer to come up than usual. */
        const val SPARE = 1.5
    }
}
