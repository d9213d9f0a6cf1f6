package topazvale.scheduler

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.Samples.machine
import topazvale.Samples.snapshot
import topazvale.Samples.waiting
import topazvale.model.Resources
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Gangs start whole, and get the room for it in the end. */
class GangPlacementTest {
    @Test
    fun `gangs start whole, in one zone where they have to`() {
        data class Case(val name: String, val zones: List<String>, val oneZone: Boolean, val placed: Int)
        val cases = listOf(
            Case("room in one zone", listOf("a", "a"), true, 2),
            Case("room in two zones", listOf("a", "b"), true, 0),
            Case("two zones will do", listOf("a", "b"), false, 2),
            Case("too little room", listOf("a"), false, 0),
        )
        for (c in cases) {
            val machines = c.zones.mapIndexed { i, zone -> machine("n-$i", zone = zone) }
            val plan = placement.plan(snapshot(listOf(waiting(Samples.gang.copy(oneZone = c.oneZone))), machines))
            assertEquals(c.placed, plan.assignments.sumOf { it.tasks }, c.name)
        }
    }

    @Test
    fun `capacity is held for a gang that will soon have the rest, or has waited for long`() {
        data class Case(val name: String, val freeIn: Int, val waited: Int, val zone: String, val small: Int)
        val cases = listOf(
            Case("the rest comes soon", 20, 1, "a", 0),
            Case("the rest comes late", 200, 1, "a", 1),
            Case("the rest comes late, and it has waited", 200, 100, "a", 0),
            Case("the rest is in another zone", 20, 1, "b", 1),
        )
        for (c in cases) {
            val free = machine("n-1")
            val busy = soonFree("n-2", c.freeIn.seconds, zone = c.zone)
            val large = waiting(Samples.gang).copy(submitted = Samples.now - c.waited.seconds)
            val small = waiting(Samples.gang.copy(id = "job-9", tasks = 1))
            val plan = placement.plan(snapshot(listOf(small, large), listOf(free, busy)))
            assertEquals(c.small, plan.assignments.sumOf { it.tasks }, c.name)
        }
    }

    /** While GPU work waits a gang is tried on plain machines first, and holds what it finds there. */
    @Test
    fun `a gang may use what is held for it together with machines with GPUs`() {
        val gang = waiting(Samples.gang).copy(submitted = Samples.now - 100.seconds)
        val array = waiting(Samples.array.copy(id = "job-8"), deadline = 600.seconds)
        val plan = placement.plan(snapshot(listOf(gang, array), listOf(machine("n-1"), machine("n-2", Samples.gpu))))
        assertEquals(setOf("n-1", "n-2"), plan.assignments.filter { it.job == "job-2" }.map { it.host }.toSet())
    }

    /** A large gang that only plain machines were kept for waited for more than four minutes. */
    @Test
    fun `a starving gang has machines with GPUs before GPU work that will soon be late`() {
        val array = waiting(Samples.array.copy(id = "job-8"))
        for ((waited, first) in listOf(10 to "job-8", 100 to "job-2")) {
            val gang = waiting(Samples.gang.copy(tasks = 1)).copy(submitted = Samples.now - waited.seconds)
            val s = snapshot(
                listOf(gang, array),
                listOf(machine("n-1", Samples.gpu)),
            ).copy(placedByQueue = mapOf("reports" to 100))
            assertEquals(first, placement.plan(s).assignments.first().job, "waited $waited s")
        }
    }

    @Test
    fun `held capacity is as much as the gang needs and no more`() {
        val free = (1..6).map { machine("n-$it") }
        val other = (7..9).map { machine("n-$it", zone = "b") }
        val large = waiting(Samples.gang.copy(tasks = 7)).copy(submitted = Samples.now - 100.seconds)
        val small = (1..9).map { waiting(Samples.gang.copy(id = "job-1$it", tasks = 1)) }
        val plan = placement.plan(snapshot(small + large, free + other))
        assertEquals(listOf("n-7", "n-8", "n-9"), plan.assignments.map { it.host }, "six are held, three are not")
        assertTrue(
            plan.freeByHost.isEmpty() || free.all {
                plan.freeByHost[it.host] ?: it.free == it.free
            },
            "what is held is not rented again",
        )
    }

    @Test
    fun `what could be stopped for a waiting gang is not stopped for a smaller one`() {
        val stoppable = (1..2).map {
            machine("n-$it").copy(free = Resources.NONE, releases = lazyOf(listOf(ordinaryRelease(it))))
        }
        val large = waiting(Samples.gang.copy(tasks = 3)).copy(submitted = Samples.now - 100.seconds)
        val small = waiting(Samples.gang.copy(id = "job-9", tasks = 1))
        assertEquals(0, placement.plan(snapshot(listOf(small, large), stoppable)).preempted.size)
        assertEquals(1, placement.plan(snapshot(listOf(small), stoppable)).preempted.size)
    }

    @Test
    fun `a starving job does not keep urgent ones from having something stopped`() {
        val runs = ordinaryRelease(1)
        val full = machine("n-1").copy(free = Resources.NONE, releases = lazyOf(listOf(runs)))
        val starving = waiting(Samples.array.copy(id = "job-8", types = listOf("gpu"))).copy(
            submitted =
            Samples.now - 100.seconds,
        )
        val urgent = waiting(Samples.gang.copy(tasks = 1))
        assertEquals(1, placement.plan(snapshot(listOf(starving, urgent), listOf(full))).preempted.size)
    }
}
