package topazvale.scheduler

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.model.JobSpec
import topazvale.model.Rank
import topazvale.model.Resources
import topazvale.model.Shape
import topazvale.model.Start
import topazvale.model.TaskId
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Judges random plans by the protocol's text alone: type, zone, kind, one zone and spread. */
class PlacementConstraintsTest {
    private val zones = listOf("a", "b", "c")

    private fun Random.chance(oneIn: Int) = nextInt(oneIn) == 0

    private fun randomSpec(random: Random, number: Int): JobSpec {
        val shape = Shape.entries.random(random)
        return Samples.array.copy(
            id = "job-$number",
            queue = "queue-${random.nextInt(3)}",
            team = "red",
            shape = shape,
            rank = Rank.entries.random(random),
            tasks = random.nextInt(1, 9),
            need = Resources(random.nextInt(1, 9).toDouble(), if (random.chance(5)) 1.0 else 0.0, 4.0),
            types = if (random.chance(3)) listOf(listOf("plain", "gpu").random(random)) else null,
            zone = if (random.chance(4)) zones.random(random) else null,
            oneZone = random.chance(2),
            spread = random.chance(3),
            spotAllowed = random.nextBoolean(),
            image = "img-${random.nextInt(3)}",
        )
    }

    /** Some of the job's tasks may be placed already, also in a way that the job does not allow. */
    private fun randomJob(random: Random, number: Int): WaitingJob {
        val spec = randomSpec(random, number)
        val placed = HashMap<String, Int>()
        val startedTasks = if (spec.isGang || random.nextBoolean()) 0 else random.nextInt(spec.tasks)
        val zone = zones.random(random)
        repeat(startedTasks) { placed.merge(if (random.chance(4)) zones.random(random) else zone, 1, Int::plus) }
        return Samples.waiting(spec, spec.tasks - startedTasks, placedByZone = placed).copy(
            submitted = Samples.now - random.nextInt(0, 200).seconds,
            deadline = if (random.nextBoolean()) Samples.now + random.nextInt(0, 400).seconds else null,
            hasStarted = startedTasks > 0,
        )
    }

    private fun randomMachine(random: Random, number: Int): MachineState {
        val type = Samples.types.values.random(random)
        val machine = Samples.machine("n-$number", type, zones.random(random), random.nextBoolean())
        val release = CapacityRelease(
            Start(TaskId("job-running-$number", 0), 1),
            need = Resources(8.0, 0.0, 8.0),
            expectedIn = random.nextInt(60).seconds,
            rank = Rank.entries.random(random),
            lostWork = if (random.nextBoolean()) random.nextInt(60).seconds else null,
            stopping = random.chance(5),
        )
        if (random.nextBoolean()) return machine
        return machine.copy(free = machine.free - release.need, releases = lazyOf(listOf(release)))
    }

    private fun violations(job: WaitingJob, assignments: List<Assignment>, machines: Map<String, MachineState>) =
        buildList {
            val spec = job.spec
            val inZone = HashMap(job.placedByZone)
            for (assignment in assignments) {
                val market = machines.getValue(assignment.host).market
                if (spec.types?.contains(market.type) == false) add("type $market")
                if (spec.zone != null && spec.zone != market.zone) add("zone $market")
                if (market.spot && !spec.spotAllowed) add("kind $market")
                inZone.merge(market.zone, assignment.tasks, Int::plus)
                if (spec.oneZone && inZone.size > 1) add("one zone: $inZone")
                if (spec.spread && inZone.getValue(market.zone) > (spec.tasks + 1) / 2) add("spread: $inZone")
            }
            val count = assignments.sumOf { it.tasks }
            if (count > job.pendingTasks) add("$count of ${job.pendingTasks} tasks")
            if (spec.isGang && count !in setOf(0, spec.tasks)) add("$count of a gang of ${spec.tasks}")
        }

    @Test
    fun `no random plan places a task where its job must not run`() {
        var assigned = 0
        for (seed in 1..PLANS) {
            val random = Random(seed)
            val jobs = List(random.nextInt(1, 8)) { randomJob(random, it) }
            val machines = List(random.nextInt(1, 12)) { randomMachine(random, it) }
            val load = jobs.filter { it.spec.isService }.take(1).map { ServiceLoad(it.spec, it.spec.tasks, 0.1) }
            val plan = placement.plan(Samples.snapshot(jobs, machines).copy(services = load))
            for (job in jobs) {
                val assignments = plan.assignments.filter { it.job == job.spec.id }
                assigned += assignments.size
                val found = violations(job, assignments, machines.associateBy { it.host })
                assertEquals(emptyList<String>(), found, "seed $seed: $job")
            }
        }
        assertTrue(assigned > PLANS, "only $assigned assignments")
    }

    @Test
    fun `a job bound to one zone preempts nothing in another zone after a partial placement`() {
        val job = Samples.waiting(
            Samples.array.copy(rank = Rank.URGENT, oneZone = true, tasks = 2, need = WHOLE_MACHINE),
        )
        val free = Samples.machine("n-a", zone = "a")
        val full = Samples.machine("n-b", zone = "b").copy(
            free = Resources.NONE,
            releases = lazyOf(listOf(ordinaryRelease(1))),
        )
        val plan = placement.plan(Samples.snapshot(listOf(job), listOf(free, full)))
        assertEquals(listOf(Assignment("job-1", "n-a", 1)), plan.assignments)
        assertEquals(emptyList<Start>(), plan.preempted)
    }

    private companion object {
        const val PLANS = 3000
        val WHOLE_MACHINE = Resources(16.0, 0.0, 50.0)
    }
}
