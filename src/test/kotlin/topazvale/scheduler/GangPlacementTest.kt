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

/** Gangs start with all their tasks or not at all, and capacity holds keep them from starving. */
class GangPlacementTest {
    @Test
    fun `a gang starts with all its tasks or none, in one zone if its job requires that`() {
        data class Case(val name: String, val zones: List<String>, val oneZone: Boolean, val placed: Int)
        val cases = listOf(
            Case("capacity in one zone", listOf("a", "a"), true, 2),
            Case("capacity in two zones, one required", listOf("a", "b"), true, 0),
            Case("capacity in two zones, any allowed", listOf("a", "b"), false, 2),
            Case("too little capacity", listOf("a"), false, 0),
        )
        for (case in cases) {
            val machines = case.zones.mapIndexed { i, zone -> machine("n-$i", zone = zone) }
            val plan = placement.plan(snapshot(listOf(waiting(Samples.gang.copy(oneZone = case.oneZone))), machines))
            assertEquals(case.placed, plan.assignments.sumOf { it.tasks }, case.name)
        }
    }

    @Test
    fun `capacity is held for a gang if the rest is free soon or the gang has waited for long`() {
        data class Case(val name: String, val freeIn: Int, val waited: Int, val zone: String, val placed: Int)
        val cases = listOf(
            Case("the rest is free soon", 20, 1, "a", 0),
            Case("the rest is free only later", 200, 1, "a", 1),
            Case("the rest is free only later, the gang has waited", 200, 100, "a", 0),
            Case("the rest is in another zone", 20, 1, "b", 1),
        )
        for (case in cases) {
            val free = machine("n-1")
            val busy = soonFree("n-2", case.freeIn.seconds, zone = case.zone)
            val large = waiting(Samples.gang).copy(submitted = Samples.now - case.waited.seconds)
            val small = waiting(Samples.gang.copy(id = "job-9", tasks = 1))
            val plan = placement.plan(snapshot(listOf(small, large), listOf(free, busy)))
            assertEquals(case.placed, plan.assignments.sumOf { it.tasks }, case.name)
        }
    }

    /**
     * While GPU work waits, a gang without GPUs is tried on machines without GPUs first and holds capacity there. It
     * must be able to use that capacity when it is tried on all machines.
     */
    @Test
    fun `a gang can use its held capacity together with machines with GPUs`() {
        val gang = waiting(Samples.gang).copy(submitted = Samples.now - 100.seconds)
        val array = waiting(Samples.array.copy(id = "job-8"), deadline = 600.seconds)
        val plan = placement.plan(snapshot(listOf(gang, array), listOf(machine("n-1"), machine("n-2", Samples.gpu))))
        assertEquals(setOf("n-1", "n-2"), plan.assignments.filter { it.job == "job-2" }.map { it.host }.toSet())
    }

    /** A large gang for which only machines without GPUs were held waited for more than four minutes. */
    @Test
    fun `a starving gang gets machines with GPUs before GPU work that must start now`() {
        val array = waiting(Samples.array.copy(id = "job-8"))
        for ((waited, first) in listOf(10 to "job-8", 100 to "job-2")) {
            val gang = waiting(Samples.gang.copy(tasks = 1)).copy(submitted = Samples.now - waited.seconds)
            val snapshot = snapshot(
                listOf(gang, array),
                listOf(machine("n-1", Samples.gpu)),
            ).copy(placedByQueue = mapOf("reports" to 100))
            assertEquals(first, placement.plan(snapshot).assignments.first().job, "the gang waited for $waited s")
        }
    }

    @Test
    fun `no more capacity is held than the gang needs`() {
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
            "held capacity counts as free, so it is not rented again",
        )
    }

    @Test
    fun `tasks that a waiting gang could preempt are not preempted for a smaller gang`() {
        val preemptible = (1..2).map {
            machine("n-$it").copy(free = Resources.NONE, releases = lazyOf(listOf(ordinaryRelease(it))))
        }
        val large = waiting(Samples.gang.copy(tasks = 3)).copy(submitted = Samples.now - 100.seconds)
        val small = waiting(Samples.gang.copy(id = "job-9", tasks = 1))
        assertEquals(0, placement.plan(snapshot(listOf(small, large), preemptible)).preempted.size)
        assertEquals(1, placement.plan(snapshot(listOf(small), preemptible)).preempted.size)
    }

    @Test
    fun `a starving job does not prevent urgent jobs from preempting`() {
        val running = ordinaryRelease(1)
        val full = machine("n-1").copy(free = Resources.NONE, releases = lazyOf(listOf(running)))
        val starving = waiting(Samples.array.copy(id = "job-8", types = listOf("gpu"))).copy(
            submitted =
            Samples.now - 100.seconds,
        )
        val urgent = waiting(Samples.gang.copy(tasks = 1))
        assertEquals(1, placement.plan(snapshot(listOf(starving, urgent), listOf(full))).preempted.size)
    }
}
