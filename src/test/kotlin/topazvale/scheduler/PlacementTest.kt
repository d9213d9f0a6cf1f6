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

/** Which machines tasks go to. */
class PlacementTest {
    @Test
    fun `a start breaks no rule of its job`() {
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

        fun begun(spec: JobSpec, zone: String) = waiting(spec, pendingTasks = 3, placedByZone = mapOf(zone to 1))
        val cases = listOf(
            Case("fits", waiting(array), gpu, Resources.NONE, 4),
            Case("limit of the team", waiting(array), gpu, Resources(30.0, 6.0, 0.0), 2),
            Case("limit used up", waiting(array), gpu, Resources(30.0, 8.0, 0.0), 0),
            Case("type", waiting(array.copy(types = listOf("plain"))), gpu, Resources.NONE, 0),
            Case("zone", waiting(array.copy(zone = "b")), gpu, Resources.NONE, 0),
            Case("no spot", waiting(array.copy(spotAllowed = false)), spotGpu, Resources.NONE, 0),
            Case("spread", waiting(array.copy(spread = true)), gpu, Resources.NONE, 2),
            Case("spread, some placed", begun(array.copy(spread = true), "a"), gpu, Resources.NONE, 1),
            Case("one zone, begun elsewhere", begun(array.copy(oneZone = true), "b"), gpu, Resources.NONE, 0),
            Case("machine not up", waiting(array), machine("n-1", Samples.gpu, up = false), Resources.NONE, 0),
        )
        for (c in cases) {
            val plan = placement.plan(snapshot(listOf(c.job), listOf(c.machine), mapOf("red" to c.usage)))
            assertEquals(c.placed, plan.assignments.sumOf { it.tasks }, c.name)
        }
    }

    @Test
    fun `while something runs of which no team is known, teams that have a limit get no more`() {
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
    fun `higher ranks come first and images in the cache are used`() {
        val normal = waiting(Samples.array.copy(need = Resources(16.0, 0.0, 20.0), tasks = 1, team = "red"))
        val urgent = waiting(Samples.gang.copy(tasks = 1, need = Resources(16.0, 0.0, 20.0)))
        val plan = placement.plan(snapshot(listOf(normal, urgent), listOf(machine("n-1"))))
        assertEquals(listOf(Assignment("job-2", "n-1", 1)), plan.assignments)

        val cached = machine("n-2").copy(images = setOf("img"))
        val one = placement.plan(snapshot(listOf(urgent), listOf(machine("n-1"), cached)))
        assertEquals("n-2", one.assignments.single().host)
    }

    @Test
    fun `images that are fetched at the same time share the rate`() {
        // gigabytes on their way to n-1, whether n-2 is fetching the very image, the machine taken
        val cases = listOf(
            Triple(emptyMap(), emptyMap(), "n-1"),
            Triple(mapOf("other" to 3.0), emptyMap(), "n-2"),
            Triple(emptyMap(), mapOf("img" to 1.0, "other" to 3.0), "n-1"),
            Triple(mapOf("other" to 4.0), mapOf("img" to 1.0, "other" to 3.0), "n-2"),
        )
        for ((first, second, taken) in cases) {
            fun busy(host: String, arriving: Map<String, Double>) =
                machine(host).copy(images = arriving.keys, fetchingImages = arriving)

            val job = waiting(Samples.gang.copy(tasks = 1))
            val plan = placement.plan(snapshot(listOf(job), listOf(busy("n-1", first), busy("n-2", second))))
            assertEquals(taken, plan.assignments.single().host, "$first, $second")
        }
    }

    /** Each job took the next free machine and fetched there, until all machines fetched and few ran anything. */
    @Test
    fun `ordinary work waits for machines that have its image, if enough of them will soon be free`() {
        data class Case(
            val name: String,
            val running: Int,
            val arriving: Map<String, Double>,
            val waited: Int,
            val placed: Int,
        )
        val cases = listOf(
            Case("nothing runs with the image", 0, emptyMap(), 1, 4),
            Case("half as much runs", 2, emptyMap(), 1, 2),
            Case("as much runs", 4, emptyMap(), 1, 0),
            Case("another image is being fetched", 0, mapOf("other" to 5.0), 1, 0),
            Case("it is being fetched", 4, mapOf("img" to 0.1), 1, 4),
            Case("it starves", 4, mapOf("other" to 5.0), 100, 1),
        )
        for (c in cases) {
            val job = waiting(Samples.array.copy(imageGb = 5.0)).copy(submitted = Samples.now - c.waited.seconds)
            val free = machine("n-1", Samples.gpu).copy(fetchingImages = c.arriving)
            val plan = placement.plan(
                snapshot(listOf(job), listOf(free)).copy(runningByImage = mapOf("img" to c.running)),
            )
            assertEquals(c.placed, plan.assignments.sumOf { it.tasks }, c.name)
        }
    }

    /** Urgent gangs without GPUs had all machines with GPUs while arrays with GPUs waited for minutes. */
    @Test
    fun `machines with GPUs belong first to work that needs them`() {
        val gang = waiting(Samples.gang.copy(tasks = 2))
        val array = waiting(Samples.array.copy(id = "job-8", tasks = 4, need = Resources(6.0, 1.0, 24.0)))
        val plan = placement.plan(
            snapshot(listOf(gang, array), listOf(machine("n-1", Samples.gpu), machine("n-2", Samples.gpu))),
        )
        assertEquals(
            mapOf("job-8" to 4),
            plan.assignments.groupBy {
                it.job
            }.mapValues { (_, a) -> a.sumOf { it.tasks } },
        )
        val early = array.copy(deadline = Samples.now + 300.seconds)
        val easy = placement.plan(
            snapshot(listOf(gang, early), listOf(machine("n-1", Samples.gpu), machine("n-2", Samples.gpu))),
        )
        assertEquals(
            2,
            easy.assignments.filter {
                it.job == "job-2"
            }.sumOf { it.tasks },
            "while it would be in time all the same it waits",
        )
        val plain = (3..4).map { machine("n-$it") }
        val more = placement.plan(snapshot(listOf(gang, array), listOf(machine("n-1", Samples.gpu)) + plain))
        assertEquals(setOf("n-3", "n-4"), more.assignments.filter { it.job == "job-2" }.map { it.host }.toSet())
    }

    @Test
    fun `a starving job gets a first share of its tasks, not everything`() {
        val large = waiting(Samples.array.copy(tasks = 40, need = Resources(2.0, 0.0, 4.0)))
        val machines = (1..10).map { machine("n-$it") }
        assertEquals(40, placement.plan(snapshot(listOf(large), machines)).assignments.sumOf { it.tasks })
        val starving = large.copy(submitted = Samples.now - 100.seconds)
        assertEquals(10, placement.plan(snapshot(listOf(starving), machines)).assignments.sumOf { it.tasks })
    }

    @Test
    fun `work without GPUs leaves the processors that free GPUs will want`() {
        val cpuOnly = Samples.array.copy(need = Resources(2.0, 0.0, 4.0), tasks = 100)
        val plan = placement.plan(snapshot(listOf(waiting(cpuOnly)), listOf(machine("n-1", Samples.gpu))))
        assertEquals(2, plan.assignments.sumOf { it.tasks }, "24 processors, 4 GPUs that want 5 each")
    }

    @Test
    fun `the rest of a job is bound by what it got a moment ago in the same plan`() {
        val gpuWork =
            waiting(
                Samples.array.copy(id = "job-8", need = Resources(1.0, 1.0, 1.0), tasks = 1, types = listOf("none")),
            )
        val array = Samples.array.copy(need = Resources(5.0, 0.0, 5.0), tasks = 6)
        data class Case(val name: String, val job: WaitingJob, val gpuZone: String, val placed: Int)
        val cases = listOf(
            Case("free", waiting(array), "a", 6),
            Case("spread, all in one zone", waiting(array.copy(spread = true)), "a", 3),
            Case("spread over two zones", waiting(array.copy(spread = true)), "b", 6),
            Case("bound to one zone", waiting(array.copy(oneZone = true)), "b", 3),
            Case("bound to one zone, room there", waiting(array.copy(oneZone = true)), "a", 6),
            Case(
                "a spread service",
                waiting(Samples.service.copy(tasks = 6, need = array.need, spotAllowed = true)),
                "a",
                3,
            ),
        )
        for (c in cases) {
            val machines = listOf(machine("n-1"), machine("n-2", Samples.gpu, zone = c.gpuZone))
            val plan = placement.plan(
                snapshot(listOf(gpuWork, c.job.copy(estimate = 20.seconds)), machines).copy(cpusPerGpu = 0.0),
            )
            assertEquals(c.placed, plan.assignments.filter { it.job == c.job.spec.id }.sumOf { it.tasks }, c.name)
        }
    }
}
