package topazvale.scheduler

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.Samples.machine
import topazvale.Samples.snapshot
import topazvale.Samples.waiting
import topazvale.model.MachineType
import topazvale.model.Market
import topazvale.model.Resources
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** What is rented, and what goes back. */
class ProvisionerTest {
    @Test
    fun `while slack lasts only spot below the bid is rented`() {
        val dear = WindowMinimumBid(10.minutes, 0.001).also {
            it.recordPrice("plain", 0.3, Samples.now)
            it.recordPrice("gpu", 1.0, Samples.now)
        }
        data class Case(
            val name: String,
            val due: Int,
            val spotAllowed: Boolean,
            val bids: BidStrategy,
            val spot: Boolean?,
        )
        val even = WindowMinimumBid(10.minutes, 0.001)
        val cases = listOf(
            Case("slack, price at its lowest", 600, true, even, true),
            Case("slack, price above the bid", 600, true, dear, null),
            Case("no slack, price above", 60, true, dear, true),
            Case("slack, spot not allowed", 600, false, even, null),
            Case("no slack, spot not allowed", 60, false, even, false),
        )
        for (c in cases) {
            val job = waiting(Samples.array.copy(spotAllowed = c.spotAllowed), deadline = c.due.seconds)
            val rents = rents(snapshot(listOf(job), emptyList()), job, c.bids)
            assertEquals(c.spot, rents.firstOrNull()?.market?.spot, c.name)
        }
    }

    @Test
    fun `steady machines cover spot shortfalls`() {
        val job = waiting(Samples.gang)
        val s = snapshot(listOf(job), emptyList())
        val refused = HashSet<Market>()
        val order = generateSequence {
            provisioner().planRentals(s, PlacementPlan(emptyList(), listOf(job)), refused, 10).firstOrNull()?.also {
                refused +=
                    it.market
            }
        }.toList()
        assertEquals(
            listOf("plain" to true, "plain" to true, "plain" to false, "plain" to false),
            order.take(4).map {
                it.market.type to
                    it.market.spot
            },
        )
        assertEquals(2, order.first().count, "a gang is rented whole in one market")
    }

    @Test
    fun `capacity that will be free is not rented twice`() {
        val job = waiting(Samples.gang.copy(tasks = 1))
        val booting = machine("n-1", up = false)
        val release = soonFree("n-2", 5.seconds)
        for (m in listOf(booting, release)) {
            assertTrue(rents(snapshot(listOf(job), listOf(m)), job).isEmpty(), m.host)
        }
    }

    @Test
    fun `how soon a machine must be free to be waited for depends on the deadline`() {
        // deadline, seconds until the machine is free, rented; the estimate is 20 s, the fetch 2 s, a boot 30 s
        val cases =
            listOf(Triple(null, 29, 0), Triple(null, 31, 1), Triple(100, 57, 0), Triple(100, 59, 1), Triple(10, 29, 0))
        for ((deadline, free, rented) in cases) {
            val job =
                waiting(Samples.array.copy(tasks = 1, need = Resources(5.0, 0.0, 5.0)), deadline = deadline?.seconds)
            val busy = soonFree("n-1", free.seconds)
            val rents = rents(snapshot(listOf(job), listOf(busy)), job)
            assertEquals(rented, rents.sumOf { it.count }, "deadline $deadline, free in $free")
        }
    }

    @Test
    fun `urgent work on machines with GPUs has plain ones rented for what follows it`() {
        val s = snapshot(emptyList(), listOf(machine("n-1", Samples.gpu))).copy(gpuWastingJobs = listOf(Samples.gang))
        assertEquals("plain", provisioner().planRentals(s, NOTHING, emptySet(), 10).single().market.type)
        val relieved = s.copy(machines = s.machines + machine("n-2"))
        assertTrue(provisioner().planRentals(relieved, NOTHING, emptySet(), 10).isEmpty())
    }

    @Test
    fun `the dearer a machine the sooner it goes back`() {
        val idle = { host: String, type: MachineType, seconds: Int ->
            machine(host, type).copy(idleFor = seconds.seconds)
        }
        val machines =
            listOf(idle("n-1", Samples.gpu, 46), idle("n-2", Samples.plain, 46), idle("n-3", Samples.plain, 181))
        assertEquals(listOf("n-1", "n-3"), provisioner().planReturns(snapshot(emptyList(), machines), emptySet()))
    }

    private companion object {
        val NOTHING = PlacementPlan(emptyList(), emptyList())
    }
}
