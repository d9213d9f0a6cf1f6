package topazvale.reconcile

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.model.JobRecord
import topazvale.model.JobStatus
import topazvale.model.Market
import topazvale.model.Start
import topazvale.model.TaskId

class StartAdmissionTest {
    private val cluster = TermFixture().cluster
    private val admission = cluster.admission
    private val spec = Samples.array.copy(tasks = 4, oneZone = true)

    init {
        cluster.addJob(JobRecord(spec, Samples.now, JobStatus.LIVE), 1)
        for (zone in listOf("a", "b")) {
            val market = Market("plain", zone, spot = false)
            cluster.addMachines("r-$zone", market, Samples.now, listOf("n-$zone"), rentedInThisTerm = true)
        }
    }

    private fun place(index: Int, host: String, origin: PlacementOrigin) =
        cluster.place(Start(TaskId(spec.id, index), index + 1L), cluster.machines.getValue(host), 1, origin)

    private fun withdraw() = buildList {
        admission.withdrawUnsent {
            add(it)
            cluster.removePlacement(it, reported = false)
        }
    }

    @Test
    fun `a refused start is withdrawn if it was surely never sent, and tracked otherwise`() {
        val unsent = place(0, "n-b", PlacementOrigin.STARTED)
        val sent = place(1, "n-b", PlacementOrigin.STARTED).also { it.startSent = true }
        val inDoubt = place(2, "n-b", PlacementOrigin.STARTED).also { it.recordDirectStart(token = 7) }
        assertTrue(listOf(unsent, sent, inDoubt).all(admission::mayBeSent))
        val orphan = place(3, "n-a", PlacementOrigin.ORPHANED)
        assertTrue(listOf(unsent, sent, inDoubt).none(admission::mayBeSent))
        assertEquals(listOf(unsent), withdraw())
        assertEquals(mapOf("b" to 2, "a" to 1), cluster.ledger.of(spec.id).byZone)
        assertEquals(listOf(0), cluster.jobs.getValue(spec.id).nextTasks(4), "its task can be planned again")
        cluster.removePlacement(orphan, reported = true)
        assertTrue(listOf(sent, inDoubt).all(admission::mayBeSent))
        assertEquals(emptyList<PlacedTask>(), withdraw())
    }

    @Test
    fun `a refused start is not withdrawn once the doubt is gone`() {
        val start = place(0, "n-b", PlacementOrigin.STARTED)
        val orphan = place(3, "n-a", PlacementOrigin.ORPHANED)
        assertFalse(admission.mayBeSent(start))
        cluster.removePlacement(orphan, reported = true)
        assertEquals(emptyList<PlacedTask>(), withdraw())
        assertTrue(admission.mayBeSent(start))
    }

    @Test
    fun `the numbers of placements by zone follow every change`() {
        val placements = cluster.ledger.of(spec.id)
        val first = place(0, "n-a", PlacementOrigin.STARTED)
        val second = cluster.place(
            Start(TaskId(spec.id, 0), 9),
            cluster.machines.getValue("n-b"),
            1,
            PlacementOrigin.ORPHANED,
        )
        assertEquals(mapOf("a" to 1, "b" to 1), placements.byZone)
        repeat(2) { cluster.removePlacement(first, reported = true) }
        assertEquals(mapOf("b" to 1), placements.byZone)
        cluster.removePlacement(second, reported = true)
        assertEquals(emptyMap<String, Int>(), placements.byZone)
        assertTrue(placements.isEmpty())
    }
}
