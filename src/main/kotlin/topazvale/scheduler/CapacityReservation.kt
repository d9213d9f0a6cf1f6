package topazvale.scheduler

import topazvale.model.JobSpec
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Room kept free for replicas to come: those of a service just submitted, or those of a machine that was lost. A machine
 * takes longer to come up than anybody may wait for a replica, so that what comes in that time has to find room.
 *
 * The room lies in several zones, each with half of what is needed, so that a spread service, or the loss of a zone,
 * finds it too.
 */
internal class CapacityReservation(private val load: ServiceLoad, private val s: Snapshot, private val candidates: List<Candidate>) {
    private val spec = load.sample.copy(oneZone = false, spread = false)
    private val fitting = s.types.values.filter { type ->
        spec.need.fitsIn(type.capacity) && (spec.types == null || type.name in spec.types)
    }
    private val plain = fitting.filter { it.capacity.gpus == 0.0 }.ifEmpty { fitting }
    private val names = plain.mapTo(HashSet()) { it.name }
    private val zones = plain.flatMap {
        it.zones
    }.filter { spec.zone == null || it == spec.zone }.distinct().sorted().take(MOST_ZONES)
    private val boot: Duration = plain.maxOfOrNull { it.boot } ?: Duration.ZERO
    private val wanted = ceil(load.perSecond * boot.toDouble(DurationUnit.SECONDS) * SPARE).toInt() + load.largest
    private val perZone = if (zones.size < 2) wanted else (wanted + 1) / 2
    private val kept = LinkedHashMap<Candidate, Int>()
    private val short = LinkedHashMap<String, Int>()

    val hosts: Set<String> get() = kept.keys.mapTo(HashSet()) { it.machine.host }

    fun serves(other: JobSpec) =
        other.queue == spec.queue && other.need == spec.need && other.spotAllowed == spec.spotAllowed

    fun release() {
        for ((candidate, tasks) in kept) candidate.keep(spec, -tasks)
        kept.clear()
    }

    fun keep() {
        for (zone in zones) {
            var left = perZone
            val there = candidates.filter {
                it.machine.market.zone == zone && Placement.allows(spec, it.machine) && it.machine.type.name in names
            }
            for (candidate in there) {
                if (left == 0) break
                val tasks = minOf(left, candidate.starts, spec.need.timesIn(candidate.free))
                if (tasks <= 0) continue
                candidate.keep(spec, tasks)
                kept[candidate] = tasks
                left -= tasks
            }
            short[zone] = left
        }
    }

    /** What has to be rented for, zone by zone. */
    fun missing(now: Instant): List<WaitingJob> = short.filterValues { it > 0 }.map { (zone, tasks) ->
        WaitingJob(
            spec.copy(zone = zone),
            now,
            deadline = null,
            pending = tasks,
            placedIn = emptyMap(),
            begun = true,
            estimate = Duration.ZERO,
            withinGuarantee = false,
        )
    }

    private companion object {
        const val MOST_ZONES = 3

        /** Machines often take longer to come up than usual. */
        const val SPARE = 1.5
    }
}
