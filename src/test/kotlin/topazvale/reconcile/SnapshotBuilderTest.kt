package topazvale.reconcile

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.config.Settings
import topazvale.config.SettingsTest
import topazvale.model.Clocks
import topazvale.model.JobRecord
import topazvale.model.JobStatus
import topazvale.model.Market
import topazvale.model.Start
import topazvale.model.TaskId
import topazvale.model.TaskState

class SnapshotBuilderTest {
    /** Ordinary work may wait for running tasks with its image to end; a replica with that image does not end. */
    @Test
    fun `replicas are not counted among the running tasks whose machines other work waits for`() {
        val cluster = TermFixture().cluster
        cluster.addMachines("r-1", Market("plain", "a", false), Samples.now, listOf("n-1"), rentedInThisTerm = true)
        for (spec in listOf(Samples.service, Samples.array)) {
            cluster.addJob(JobRecord(spec, Samples.now, JobStatus.LIVE), 1)
            val start = Start(TaskId(spec.id, 0), 1)
            val placed = cluster.place(start, cluster.machines.getValue("n-1"), 1, PlacementOrigin.STARTED)
            placed.state = TaskState.RUNNING
        }
        val builder = SnapshotBuilder(Settings.parse(SettingsTest.TEXT), cluster, 7, RunTimes(), Clocks.SYSTEM)
        val snapshot = builder.build(Samples.now, forProvisioning = false)
        assertEquals(Samples.service.image, Samples.array.image)
        assertEquals(mapOf(Samples.array.image to 1), snapshot.runningByImage)
    }

    /** Guards against reports that grow beyond the limit of a request body. */
    @Test
    fun `exits that a worker still lists take up room for starts`() {
        val cluster = TermFixture().cluster
        cluster.types = Samples.types
        cluster.addMachines("r-1", Market("plain", "a", false), Samples.now, listOf("n-1"), rentedInThisTerm = true)
        val builder = SnapshotBuilder(Settings.parse(SettingsTest.TEXT), cluster, 7, RunTimes(), Clocks.SYSTEM)
        fun startSlots() = builder.build(Samples.now, forProvisioning = false).machines.single().startSlots
        val before = startSlots()
        cluster.machines.getValue("n-1").retainedExits = 30
        assertEquals(before - 30, startSlots())
    }
}
