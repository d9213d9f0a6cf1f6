package topazvale.reconcile

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.config.Settings
import topazvale.config.SettingsTest
import topazvale.fake.FakeStateStore
import topazvale.model.Clocks
import topazvale.model.JobRecord
import topazvale.model.JobSpec
import topazvale.model.JobStatus
import topazvale.model.Market
import topazvale.model.Report
import topazvale.model.ReportedTask
import topazvale.model.Resources
import topazvale.model.Start
import topazvale.model.TaskId
import topazvale.model.TaskState
import topazvale.scheduler.Placement
import topazvale.scheduler.PlacementPlan
import topazvale.store.ChunkRecords
import topazvale.store.JobRecords
import topazvale.store.Keys
import topazvale.store.StartRecords
import topazvale.store.StartRow
import topazvale.wire.Change
import java.util.BitSet

/** What a new leader may start of a job bound to one zone, by what the former leader left on record. */
class ZoneBindingTest {
    private val need = Resources(10.0, 0.0, 20.0)
    private val bound = Samples.array.copy(id = "job-3", tasks = 8, need = need, oneZone = true)
    private val other = Samples.array.copy(id = "job-4", tasks = 8, need = Resources(1.0, 0.0, 1.0))
    private val settings = Settings.parse(SettingsTest.TEXT)

    /** One leadership term on a shared state service, with two machines in each of two zones. */
    private inner class Leader(store: FakeStateStore, private val token: Long) {
        private val term = TermFixture(store, token)
        val records = term.records
        val cluster = term.cluster
        private var attempts = 0L

        fun addMachines() = also {
            for (zone in listOf("a", "b")) {
                val market = Market("plain", zone, spot = false)
                cluster.addMachines("r-$zone", market, Samples.now, hosts(zone), rentedInThisTerm = false)
            }
        }

        fun rebuild() = also { runBlocking { term.rebuild.run() } }

        /** Records starts in one batch, as one plan does. */
        fun start(vararg assigned: Pair<TaskId, String>): List<PlacedTask> {
            val placed = assigned.map { (task, host) ->
                val start = Start(task, Attempts.of(token, ++attempts))
                cluster.place(start, cluster.machines.getValue(host), 1, PlacementOrigin.STARTED)
            }
            term.starts.record(placed)
            runBlocking { records.flush() }
            return placed
        }

        fun end(placed: PlacedTask, reported: Boolean) = cluster.removePlacement(placed, reported)

        fun flushDeferred() = runBlocking { repeat(4) { records.flushDeferred() } }

        fun report(host: String, sequence: Long, vararg running: Start) {
            val tasks = running.map { ReportedTask(it, TaskState.RUNNING, null, saved = false) }
            val market = Market("plain", host.substringAfter('-').take(1), spot = false)
            val report = Report(host, "127.0.0.1:1", market, 1, sequence, token, null, tasks)
            term.reports.applyReport(report, ReportSource.ANSWERED)
        }

        fun plan(): PlacementPlan {
            cluster.types = Samples.types
            val snapshots = SnapshotBuilder(settings, cluster, token, RunTimes(), Clocks.SYSTEM)
            return Placement().plan(snapshots.build(Samples.now, forProvisioning = false))
        }

        /** The zones in which a plan starts further tasks of the bound job. */
        fun plannedZones(): Set<String> = plan().assignments.filter { it.job == bound.id }
            .mapTo(HashSet()) { cluster.machines.getValue(it.host).market.zone }

        fun placedZones(): Set<String> = cluster.ledger.of(bound.id).all.mapTo(HashSet()) { it.machine.market.zone }
    }

    private fun hosts(zone: String) = listOf("n-${zone}1", "n-${zone}2")

    private fun task(index: Int, job: JobSpec = bound) = TaskId(job.id, index)

    private fun storeWithJobs() = FakeStateStore().also { store ->
        for (spec in listOf(bound, other)) {
            val record = JobRecords.encode(JobRecord(spec, Samples.now, JobStatus.LIVE))
            store.commit(emptyList(), listOf(Change.Put(Keys.job(spec.id), record)))
        }
    }

    /** A former leader under which the job moved from zone a to b; a row of the start in a is left in its record. */
    private fun leaveRowOfEarlierZone(store: FakeStateStore, reported: Boolean) {
        val leader = Leader(store, 1).addMachines().rebuild().also { it.addMachines() }
        val (_, inA) = leader.start(task(0, other) to "n-a1", task(0) to "n-a1")
        leader.end(inA, reported)
        if (!reported) return leader.start(task(1) to "n-b2").let { }
        val (again) = leader.start(task(0) to "n-b1")
        leader.start(task(1) to "n-b2")
        leader.end(again, reported = true)
        leader.flushDeferred()
    }

    @Test
    fun `a job bound to one zone with placements in two starts nothing in either`() {
        data class Case(val name: String, val prepare: (FakeStateStore) -> Leader)

        fun nextLeader(store: FakeStateStore) = Leader(store, 2).rebuild()
        val cases = listOf(
            Case("a row of an exited start is the highest recorded attempt of its task") { store ->
                leaveRowOfEarlierZone(store, reported = true)
                nextLeader(store)
            },
            Case("the record without a lost start was not written before the leader ended") { store ->
                leaveRowOfEarlierZone(store, reported = false)
                nextLeader(store)
            },
            Case("an orphaned task is found in another zone after a start") { store ->
                nextLeader(store).addMachines().also {
                    it.start(task(1) to "n-b2")
                    it.report("n-a1", 1, Start(task(0), 1))
                }
            },
            Case("an orphaned task was found in another zone, and the earlier starts have ended") { store ->
                nextLeader(store).addMachines().also {
                    val (first) = it.start(task(1) to "n-b2")
                    it.report("n-a1", 1, Start(task(0), 1))
                    it.start(task(2) to "n-b1")
                    it.end(first, reported = true)
                }
            },
        )
        for (case in cases) {
            val leader = case.prepare(storeWithJobs())
            assertEquals(setOf("a", "b"), leader.placedZones(), case.name)
            leader.report("n-a2", 1)
            hosts("b").forEach { leader.report(it, 1, *leader.startsOn(it)) }
            assertEquals(emptySet<String>(), leader.plannedZones(), case.name)
            // The machine in the other zone reports at last, and does not list the task.
            leader.report("n-a1", 2)
            assertEquals(setOf("b"), leader.placedZones(), case.name)
            assertEquals(setOf("b"), leader.plannedZones(), case.name)
        }
    }

    @Test
    fun `rows of tasks that are known to be absent bind their job to no zone`() {
        val store = storeWithJobs()
        Leader(store, 1).addMachines().also { runBlocking { it.records.flush() } }
        val rows = mapOf(
            "s/1-1" to listOf(
                StartRow("n-a1", 1, bound.id, 10, listOf(0)), // started again with a higher attempt
                StartRow("n-a2", 1, bound.id, 11, listOf(1)), // done
                StartRow("n-a3", 1, bound.id, 12, listOf(2)), // on a machine that was returned
            ),
            "s/1-2" to listOf(StartRow("n-b1", 1, bound.id, 20, listOf(0))),
        )
        for ((key, value) in rows) store.commit(emptyList(), listOf(Change.Put(key, StartRecords.encode(value))))
        val done = ChunkRecords.encode(BitSet().apply { set(1) }, 0)
        store.commit(emptyList(), listOf(Change.Put(Keys.chunk(bound.id, 0), done)))
        val leader = Leader(store, 2).rebuild()
        assertEquals(setOf("b"), leader.placedZones())
        hosts("a").forEach { leader.report(it, 1) }
        leader.report("n-b2", 1)
        assertEquals(setOf("b"), leader.plannedZones())
    }

    private fun Leader.startsOn(host: String) = cluster.machines.getValue(host).placements.keys.toTypedArray()
}
