package topazvale.scheduler

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.Samples.machine
import topazvale.Samples.snapshot
import topazvale.Samples.waiting
import topazvale.model.JobSpec
import topazvale.model.Resources
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Which machines the tasks of a job are placed on. */
class PlacementTest {
    @Test
    fun `a placement violates no constraint of its job or team`() {
        data class Case(
            val name: String,
            val job: WaitingJob,
            val machine: MachineState,
            val usage: Resources,
            val placed: Int,
        )
        val array = Samples.array
        val gpu = machine("n-1", Samples.gpu)
        val spotGpu = machine("n-1", Samples.gpu, spot = true)

        fun started(spec: JobSpec, zone: String) = waiting(spec, pendingTasks = 3, placedByZone = mapOf(zone to 1))
        val cases = listOf(
            Case("fits", waiting(array), gpu, Resources.NONE, 4),
            Case("team limit", waiting(array), gpu, Resources(30.0, 6.0, 0.0), 2),
            Case("team limit used up", waiting(array), gpu, Resources(30.0, 8.0, 0.0), 0),
            Case("other machine type", waiting(array.copy(types = listOf("plain"))), gpu, Resources.NONE, 0),
            Case("other zone", waiting(array.copy(zone = "b")), gpu, Resources.NONE, 0),
            Case("no spot", waiting(array.copy(spotAllowed = false)), spotGpu, Resources.NONE, 0),
            Case("spread", waiting(array.copy(spread = true)), gpu, Resources.NONE, 2),
            Case("spread, some placed", started(array.copy(spread = true), "a"), gpu, Resources.NONE, 1),
            Case("one zone, started in another", started(array.copy(oneZone = true), "b"), gpu, Resources.NONE, 0),
            Case("machine not up", waiting(array), machine("n-1", Samples.gpu, up = false), Resources.NONE, 0),
        )
        for (case in cases) {
            val plan = placement.plan(snapshot(listOf(case.job), listOf(case.machine), mapOf("red" to case.usage)))
            assertEquals(case.placed, plan.assignments.sumOf { it.tasks }, case.name)
        }
    }

    @Test
    fun `while the usage is incomplete, teams that have a limit start no more tasks`() {
        val unlimited = Samples.teams.getValue("red").copy(name = "green", limitCpus = null, limitGpus = null)
        val jobs = listOf("red", "green").map { waiting(Samples.array.copy(tasks = 1, id = "job-$it", team = it)) }
        val snapshot = snapshot(jobs, listOf(machine("n-1", Samples.gpu))).copy(
            teams =
            Samples.teams + ("green" to unlimited),
        )
        for ((complete, teams) in listOf(true to setOf("job-red", "job-green"), false to setOf("job-green"))) {
            val plan = placement.plan(snapshot.copy(usageComplete = complete))
            assertEquals(teams, plan.assignments.map { it.job }.toSet(), "usage complete: $complete")
        }
    }

    @Test
    fun `higher ranks come first and machines that cache the image are preferred`() {
        val normal = waiting(Samples.array.copy(need = Resources(16.0, 0.0, 20.0), tasks = 1, team = "red"))
        val urgent = waiting(Samples.gang.copy(tasks = 1, need = Resources(16.0, 0.0, 20.0)))
        val plan = placement.plan(snapshot(listOf(normal, urgent), listOf(machine("n-1"))))
        assertEquals(listOf(Assignment("job-2", "n-1", 1)), plan.assignments)

        val cached = machine("n-2").copy(images = setOf("img"))
        val cachedPlan = placement.plan(snapshot(listOf(urgent), listOf(machine("n-1"), cached)))
        assertEquals("n-2", cachedPlan.assignments.single().host)
    }

    @Test
    fun `concurrent image fetches share the fetch rate`() {
        // gigabytes that n-1 fetches, gigabytes that n-2 fetches, the chosen machine; the job needs the image img
        val cases = listOf(
            Triple(emptyMap(), emptyMap(), "n-1"),
            Triple(mapOf("other" to 3.0), emptyMap(), "n-2"),
            Triple(emptyMap(), mapOf("img" to 1.0, "other" to 3.0), "n-1"),
            Triple(mapOf("other" to 4.0), mapOf("img" to 1.0, "other" to 3.0), "n-2"),
        )
        for ((first, second, chosen) in cases) {
            fun busy(host: String, fetching: Map<String, Double>) =
                machine(host).copy(images = fetching.keys, fetchingImages = fetching)

            val job = waiting(Samples.gang.copy(tasks = 1))
            val plan = placement.plan(snapshot(listOf(job), listOf(busy("n-1", first), busy("n-2", second))))
            assertEquals(chosen, plan.assignments.single().host, "$first, $second")
        }
    }

    /** When each job fetched its image on the next free machine, all machines were fetching and few ran tasks. */
    @Test
    fun `ordinary work waits for machines that cache its image, if enough of them will be free soon`() {
        data class Case(
            val name: String,
            val running: Int,
            val fetching: Map<String, Double>,
            val waited: Int,
            val placed: Int,
        )
        val cases = listOf(
            Case("nothing runs with the image", 0, emptyMap(), 1, 4),
            Case("half as many tasks run with it", 2, emptyMap(), 1, 2),
            Case("as many tasks run with it", 4, emptyMap(), 1, 0),
            Case("another image is being fetched", 0, mapOf("other" to 5.0), 1, 0),
            Case("the image is being fetched", 4, mapOf("img" to 0.1), 1, 4),
            Case("the job starves", 4, mapOf("other" to 5.0), 100, 1),
        )
        for (case in cases) {
            val job = waiting(Samples.array.copy(imageGb = 5.0)).copy(submitted = Samples.now - case.waited.seconds)
            val free = machine("n-1", Samples.gpu).copy(fetchingImages = case.fetching)
            val plan = placement.plan(
                snapshot(listOf(job), listOf(free)).copy(runningByImage = mapOf("img" to case.running)),
            )
            assertEquals(case.placed, plan.assignments.sumOf { it.tasks }, case.name)
        }
    }

    /** Urgent gangs without GPUs occupied all machines with GPUs while arrays that need GPUs waited for minutes. */
    @Test
    fun `machines with GPUs go first to work that needs them and must start now`() {
        val gang = waiting(Samples.gang.copy(tasks = 2))
        val array = waiting(Samples.array.copy(id = "job-8", tasks = 4, need = Resources(6.0, 1.0, 24.0)))
        val plan = placement.plan(
            snapshot(listOf(gang, array), listOf(machine("n-1", Samples.gpu), machine("n-2", Samples.gpu))),
        )
        assertEquals(
            mapOf("job-8" to 4),
            plan.assignments.groupBy {
                it.job
            }.mapValues { (_, assignments) -> assignments.sumOf { it.tasks } },
        )
        val notUrgent = array.copy(deadline = Samples.now + 300.seconds)
        val waitingPlan = placement.plan(
            snapshot(listOf(gang, notUrgent), listOf(machine("n-1", Samples.gpu), machine("n-2", Samples.gpu))),
        )
        assertEquals(
            2,
            waitingPlan.assignments.filter {
                it.job == "job-2"
            }.sumOf { it.tasks },
            "GPU work that can still meet its deadline later waits",
        )
        val plain = (3..4).map { machine("n-$it") }
        val plainPlan = placement.plan(snapshot(listOf(gang, array), listOf(machine("n-1", Samples.gpu)) + plain))
        assertEquals(setOf("n-3", "n-4"), plainPlan.assignments.filter { it.job == "job-2" }.map { it.host }.toSet())
    }

    @Test
    fun `a starving job first gets a quarter of its tasks placed, not all`() {
        val large = waiting(Samples.array.copy(tasks = 40, need = Resources(2.0, 0.0, 4.0)))
        val machines = (1..10).map { machine("n-$it") }
        assertEquals(40, placement.plan(snapshot(listOf(large), machines)).assignments.sumOf { it.tasks })
        val starving = large.copy(submitted = Samples.now - 100.seconds)
        assertEquals(10, placement.plan(snapshot(listOf(starving), machines)).assignments.sumOf { it.tasks })
    }

    @Test
    fun `work without GPUs leaves the CPUs that free GPUs will need`() {
        val cpuOnly = Samples.array.copy(need = Resources(2.0, 0.0, 4.0), tasks = 100)
        val plan = placement.plan(snapshot(listOf(waiting(cpuOnly)), listOf(machine("n-1", Samples.gpu))))
        assertEquals(2, plan.assignments.sumOf { it.tasks }, "24 CPUs, 4 GPUs that need 5 each")
    }

    /** Guards against work that never starts beside CPUs that are left for GPU work which nobody has. */
    @Test
    fun `work without GPUs that has waited for long uses the CPUs of free GPUs`() {
        val large = waiting(Samples.array.copy(need = Resources(20.0, 0.0, 40.0), tasks = 1))
        for ((waitedFor, starts) in listOf(59.seconds to 0, 61.seconds to 1)) {
            val job = large.copy(submitted = Samples.now - waitedFor)
            val plan = placement.plan(snapshot(listOf(job), listOf(machine("n-1", Samples.gpu))))
            assertEquals(starts, plan.assignments.sumOf { it.tasks }, "after $waitedFor")
        }
    }

    @Test
    fun `the remaining tasks of a job are restricted by its allocations in the same plan`() {
        val gpuWork =
            waiting(
                Samples.array.copy(id = "job-8", need = Resources(1.0, 1.0, 1.0), tasks = 1, types = listOf("none")),
            )
        val array = Samples.array.copy(need = Resources(5.0, 0.0, 5.0), tasks = 6)
        data class Case(val name: String, val job: WaitingJob, val gpuZone: String, val placed: Int)
        val cases = listOf(
            Case("no restriction", waiting(array), "a", 6),
            Case("spread, all in one zone", waiting(array.copy(spread = true)), "a", 3),
            Case("spread over two zones", waiting(array.copy(spread = true)), "b", 6),
            Case("bound to one zone", waiting(array.copy(oneZone = true)), "b", 3),
            Case("bound to one zone, capacity there", waiting(array.copy(oneZone = true)), "a", 6),
            Case(
                "a spread service",
                waiting(Samples.service.copy(tasks = 6, need = array.need, spotAllowed = true)),
                "a",
                3,
            ),
        )
        for (case in cases) {
            val machines = listOf(machine("n-1"), machine("n-2", Samples.gpu, zone = case.gpuZone))
            val plan = placement.plan(
                snapshot(listOf(gpuWork, case.job.copy(estimate = 20.seconds)), machines).copy(cpusPerGpu = 0.0),
            )
            assertEquals(
                case.placed,
                plan.assignments.filter { it.job == case.job.spec.id }.sumOf { it.tasks },
                case.name,
            )
        }
    }
}
