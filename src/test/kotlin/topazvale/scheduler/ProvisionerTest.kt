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

/** Which machines are rented and which are returned. */
class ProvisionerTest {
    @Test
    fun `a job with slack rents only spot machines below the bid`() {
        val priceAboveBid = WindowMinimumBid(10.minutes, 0.001).also {
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
        val priceAtLowest = WindowMinimumBid(10.minutes, 0.001)
        val cases = listOf(
            Case("slack, price at its lowest", 600, true, priceAtLowest, true),
            Case("slack, price above the bid", 600, true, priceAboveBid, null),
            Case("no slack, price above the bid", 60, true, priceAboveBid, true),
            Case("slack, spot not allowed", 600, false, priceAtLowest, null),
            Case("no slack, spot not allowed", 60, false, priceAtLowest, false),
        )
        for (case in cases) {
            val job = waiting(Samples.array.copy(spotAllowed = case.spotAllowed), deadline = case.due.seconds)
            val requests = planRentals(snapshot(listOf(job), emptyList()), job, case.bids)
            assertEquals(case.spot, requests.firstOrNull()?.market?.spot, case.name)
        }
    }

    @Test
    fun `on-demand machines are rented when spot capacity runs out`() {
        val job = waiting(Samples.gang)
        val snapshot = snapshot(listOf(job), emptyList())
        val refused = HashSet<Market>()
        val order = generateSequence {
            provisioner().planRentals(snapshot, PlacementPlan(emptyList(), listOf(job)), refused, 10)
                .firstOrNull()
                ?.also { refused += it.market }
        }.toList()
        assertEquals(
            listOf("plain" to true, "plain" to true, "plain" to false, "plain" to false),
            order.take(4).map { it.market.type to it.market.spot },
        )
        assertEquals(2, order.first().count, "all machines of a gang are rented in one market")
    }

    @Test
    fun `no machine is rented for work that fits into capacity free soon`() {
        val job = waiting(Samples.gang.copy(tasks = 1))
        val booting = machine("n-1", up = false)
        val busy = soonFree("n-2", 5.seconds)
        for (machine in listOf(booting, busy)) {
            assertTrue(planRentals(snapshot(listOf(job), listOf(machine)), job).isEmpty(), machine.host)
        }
    }

    /** Guards against machines rented beside room enough: the tasks that fit were more than an Int can count. */
    @Test
    fun `no machine is rented for tiny tasks bound to one zone beside machines that boot`() {
        val job = waiting(Samples.array.copy(need = Resources.NONE, oneZone = true))
        val booting = listOf("n-1", "n-2").map { machine(it, up = false) }
        assertTrue(planRentals(snapshot(listOf(job), booting), job).isEmpty())
    }

    @Test
    fun `how long a job waits for a machine to be free instead of renting one depends on its deadline`() {
        // deadline, seconds until the machine is free, rented; the estimate is 20 s, the fetch 2 s, a boot 30 s
        val cases =
            listOf(Triple(null, 29, 0), Triple(null, 31, 1), Triple(100, 57, 0), Triple(100, 59, 1), Triple(10, 29, 0))
        for ((deadline, free, rented) in cases) {
            val job =
                waiting(Samples.array.copy(tasks = 1, need = Resources(5.0, 0.0, 5.0)), deadline = deadline?.seconds)
            val busy = soonFree("n-1", free.seconds)
            val requests = planRentals(snapshot(listOf(job), listOf(busy)), job)
            assertEquals(rented, requests.sumOf { it.count }, "deadline $deadline, free in $free")
        }
    }

    @Test
    fun `replacement machines without GPUs are rented for urgent work that runs on machines with GPUs`() {
        val snapshot =
            snapshot(emptyList(), listOf(machine("n-1", Samples.gpu))).copy(gpuWastingJobs = listOf(Samples.gang))
        assertEquals("plain", provisioner().planRentals(snapshot, NOTHING, emptySet(), 10).single().market.type)
        val withPlain = snapshot.copy(machines = snapshot.machines + machine("n-2"))
        assertTrue(provisioner().planRentals(withPlain, NOTHING, emptySet(), 10).isEmpty())
    }

    @Test
    fun `the more expensive an idle machine, the sooner it is returned`() {
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
