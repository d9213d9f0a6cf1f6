package topazvale

import topazvale.model.JobSpec
import topazvale.model.MachineType
import topazvale.model.Market
import topazvale.model.Rank
import topazvale.model.Resources
import topazvale.model.Shape
import topazvale.model.Team
import topazvale.scheduler.MachineState
import topazvale.scheduler.Snapshot
import topazvale.scheduler.WaitingJob
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Sample values, which tests adapt with `copy`. */
object Samples {
    val now = Instant.fromEpochSeconds(1_000_000)
    val plain = MachineType("plain", Resources(16.0, 0.0, 64.0), 50.0, 0.5, 1.0, 0.4, 30.seconds, listOf("a", "b"))
    val gpu = MachineType("gpu", Resources(24.0, 4.0, 192.0), 150.0, 0.1, 10.0, 3.5, 60.seconds, listOf("a", "b"))
    val types = mapOf("plain" to plain, "gpu" to gpu)
    val teams = listOf(
        Team("red", Resources(0.0, 4.0, 0.0), limitCpus = null, limitGpus = 8.0),
        Team("blue", Resources.NONE, limitCpus = 20.0, limitGpus = null),
    ).associateBy { it.name }

    val array = JobSpec(
        id = "job-1",
        queue = "reports",
        team = "red",
        shape = Shape.ARRAY,
        rank = Rank.NORMAL,
        tasks = 4,
        need = Resources(5.0, 1.0, 20.0),
        types = null,
        zone = null,
        oneZone = false,
        spread = false,
        spotAllowed = true,
        image = "img",
        imageGb = 1.0,
        estimate = 20.seconds,
        checkpointInterval = 10.seconds,
        saveTime = 2.seconds,
        deadlineAfter = null,
    )
    val gang = array.copy(
        id = "job-2",
        shape = Shape.GANG,
        rank = Rank.URGENT,
        tasks = 2,
        need = Resources(15.0, 0.0, 50.0),
        oneZone = true,
    )

    val service = array.copy(
        id = "job-7",
        queue = "doors",
        shape = Shape.SERVICE,
        rank = Rank.CRITICAL,
        tasks = 3,
        need = Resources(2.0, 0.0, 6.0),
        estimate = Duration.ZERO,
        checkpointInterval = Duration.ZERO,
        saveTime = Duration.ZERO,
        spread = true,
        spotAllowed = false,
    )

    fun waiting(
        spec: JobSpec,
        pendingTasks: Int = spec.tasks,
        deadline: Duration? = null,
        placedByZone: Map<String, Int> = emptyMap(),
    ): WaitingJob {
        val deadlineAt = deadline?.let { now + it }
        return WaitingJob(
            spec,
            now,
            deadlineAt,
            pendingTasks,
            placedByZone,
            hasStarted = false,
            spec.estimate,
            withinGuarantee = false,
        )
    }

    fun machine(
        host: String,
        type: MachineType = plain,
        zone: String = "a",
        spot: Boolean = false,
        up: Boolean = true,
    ) = MachineState(
        host,
        Market(type.name, zone, spot),
        type,
        type.capacity,
        startSlots = 100,
        up = up,
        readyIn = 0.seconds,
        images = emptySet(),
        fetchingImages = emptyMap(),
        releases = lazyOf(emptyList()),
        idleFor = null,
    )

    fun snapshot(jobs: List<WaitingJob>, machines: List<MachineState>, usage: Map<String, Resources> = emptyMap()) =
        Snapshot(now, jobs, machines, types, teams, usage, cpusPerGpu = 5.0)
}
