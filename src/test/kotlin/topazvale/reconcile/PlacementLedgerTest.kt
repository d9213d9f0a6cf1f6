package topazvale.reconcile

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import topazvale.InvariantExtension
import topazvale.Samples
import topazvale.model.JobRecord
import topazvale.model.JobStatus
import topazvale.model.Market
import topazvale.model.Resources
import topazvale.model.Start
import topazvale.model.TaskId

class PlacementLedgerTest {
    private val cluster = TermFixture().cluster

    init {
        cluster.addMachines(
            "r",
            Market("plain", "a", spot = false),
            Samples.now,
            listOf("n-1", "n-2"),
            rentedInThisTerm = true,
        )
    }

    private fun place(host: String, attempt: Long, origin: PlacementOrigin, job: String = "job-1") =
        cluster.place(Start(TaskId(job, 0), attempt), cluster.machines.getValue(host), 1, origin)

    private fun job(id: String) = cluster.addJob(JobRecord(Samples.array.copy(id = id), Samples.now, JobStatus.LIVE), 1)

    @Test
    fun `a task may start again only when none of its placements is left, in whatever order they are removed`() {
        for (inOrder in listOf(true, false)) {
            val job = job("job-$inOrder")
            val placements = listOf(
                place("n-1", 5, PlacementOrigin.STARTED, job.spec.id),
                place("n-2", 4, PlacementOrigin.ORPHANED, job.spec.id),
            )
            val order = if (inOrder) placements else placements.reversed()
            assertEquals(2, job.placements.size)
            cluster.removePlacement(order[0], reported = true)
            assertTrue(0 in job.placements, "$inOrder")
            assertEquals(listOf(order[1]), job.placements.of(0))
            cluster.removePlacement(order[1], reported = true)
            assertFalse(0 in job.placements, "$inOrder")
            assertEquals(emptyMap<String, Resources>(), cluster.usage())
        }
    }

    @Test
    fun `placements of a finished job count towards the usage of its team until they are removed`() {
        job("job-1")
        val orphan = place("n-1", 4, PlacementOrigin.ORPHANED)
        cluster.registry.markEnded("job-1", revision = 2, RecordSource.READ)
        assertEquals(mapOf("red" to Samples.array.need), cluster.usage())
        cluster.removePlacement(orphan, reported = true)
        assertEquals(emptyMap<String, Resources>(), cluster.usage())
    }

    @Test
    fun `a job that becomes known has the placements that were found before it`() {
        val orphan = place("n-1", 4, PlacementOrigin.ORPHANED)
        assertTrue(cluster.machines.getValue("n-1").hasUnknownUsage, "its resource needs are unknown")
        assertTrue(0 in job("job-1").placements)
        cluster.removePlacement(orphan, reported = true)
        assertFalse(cluster.machines.getValue("n-1").hasUnknownUsage)
    }

    @Test
    @Tag(InvariantExtension.VIOLATES)
    fun `a second placement that the leader starts, and totals that differ, are invariant violations`() {
        val before = InvariantExtension.violations()
        job("job-1")
        place("n-1", 5, PlacementOrigin.STARTED)
        cluster.ledger.checkTotals(cluster.machines.values)
        assertEquals(before, InvariantExtension.violations())
        place("n-2", 6, PlacementOrigin.STARTED)
        assertEquals(before + 1, InvariantExtension.violations())
        cluster.ledger.checkTotals(cluster.machines.values.take(1))
        assertEquals(before + 2, InvariantExtension.violations())
    }
}
