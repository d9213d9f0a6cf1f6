package topazvale.reconcile

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.fake.FakeStateService
import topazvale.fake.FakeStateStore
import topazvale.model.Clocks
import topazvale.model.JobRecord
import topazvale.model.JobSpec
import topazvale.model.JobStatus
import topazvale.model.Market
import topazvale.model.Start
import topazvale.model.TaskId
import topazvale.store.ChunkRecords
import topazvale.store.JobRecords
import topazvale.store.Keys
import topazvale.store.MachineGroupRecord
import topazvale.store.Records
import topazvale.store.StartRecords
import topazvale.store.StartRow
import topazvale.wire.Change
import java.util.BitSet
import kotlin.time.Duration.Companion.seconds

class RebuildTest {
    private val store = FakeStateStore()
    private val state = FakeStateService(store)
    private val market = Market("plain", "a", spot = false)

    private fun put(key: String, data: Map<String, Any?>) = store.commit(emptyList(), listOf(Change.Put(key, data)))

    private inner class Leader(token: Long, valueBytes: Int = VALUE_BYTES) {
        private val term = TermFixture(
            store,
            token,
            valueBytes = valueBytes,
            opsPerTransaction = if (valueBytes == VALUE_BYTES) 16 else 8,
        )
        val records = term.records
        val starts = term.starts
        val cluster = term.cluster
        val rebuild = term.rebuild

        fun rebuilt() = also { runBlocking { rebuild.run() } }
    }

    private fun putJob(spec: JobSpec) =
        put(Keys.job(spec.id), JobRecords.encode(JobRecord(spec, Samples.now, JobStatus.LIVE)))

    @Test
    fun `a rebuild tracks only recorded starts whose tasks may still be on their machines`() {
        putJob(Samples.array)
        putJob(Samples.gang)
        put(
            Keys.group("r-1"),
            MachineGroupRecord(market, Samples.now, mapOf("n-1" to listOf("img"), "n-2" to emptyList())).encode(),
        )
        put(Keys.chunk("job-1", 0), ChunkRecords.encode(BitSet().apply { set(3) }, 0))
        val rows = mapOf(
            "s/1-1" to listOf(
                StartRow("n-1", 1, "job-1", 10, listOf(0, 1, 3)),
                StartRow("n-2", 1, "job-2", 11, listOf(0, 1)),
                StartRow("n-2", 1, "job-over", 12, listOf(0)),
                StartRow("n-gone", 1, "job-1", 13, listOf(2)),
            ),
            "s/1-2" to listOf(StartRow("n-2", 2, "job-1", 20, listOf(1)), StartRow("n-1", 1, "job-2", 21, listOf(0))),
        )
        for ((key, value) in rows) put(key, StartRecords.encode(value))
        val cluster = Leader(2).rebuilt().cluster
        val tracked = cluster.machines.values.flatMap { m ->
            m.placements.keys.map { Triple(m.host, it.task.toString(), it.attempt) }
        }
        val expected = setOf(
            Triple("n-1", "job-1/0", 10L), // the only start of its task
            Triple("n-2", "job-1/1", 20L), // started again on another machine; job-1/3 is done
            Triple("n-1", "job-2/0", 21L), // the whole gang was started again
        ) // job-over has finished, and n-gone was returned before its group was written without it
        assertEquals(expected, tracked.toSet())
        assertEquals(setOf("img"), cluster.machines.getValue("n-1").images.toSet())
        assertEquals(2L, cluster.machines.getValue("n-2").session)
    }

    @Test
    fun `unreadable records are kept, and a rebuild that lacks starts or machines is incomplete`() {
        putJob(Samples.array)
        put(Keys.job("job-3"), mapOf("job" to mapOf("uid" to "job-3"), "at" to 5L, "status" to "LIVE"))
        put(Keys.chunk("job-3", 0), mapOf("done" to "AQ=="))
        put(Keys.taskCounts("job-3"), mapOf("done" to 1, "running" to 1))
        put(Keys.chunk("job-1", 0), mapOf("done" to "not base 64"))
        put(Keys.group("r-1"), MachineGroupRecord(market, Samples.now, mapOf("n-1" to emptyList())).encode())
        put("s/1-1", StartRecords.encode(listOf(StartRow("n-1", 1, "job-3", 10, listOf(0)))))
        val readable = Leader(2).rebuilt()
        assertTrue(readable.rebuild.complete, "all records of starts and machines are readable")
        assertEquals(setOf("job-1"), readable.cluster.jobs.keys)
        runBlocking { repeat(3) { readable.records.flushDeferred() } }
        assertEquals(7, store.values.size, "the records of an unfinished job stay: ${store.values.keys}")
        for ((key, data) in mapOf("s/1-2" to mapOf("starts" to "?"), "m/r-2" to mapOf("type" to 7))) {
            put(key, data)
            assertFalse(Leader(3).rebuilt().rebuild.complete, key)
            store.commit(emptyList(), listOf(Change.Delete(key)))
        }
        assertTrue(Leader(4).rebuilt().rebuild.complete)
    }

    @Test
    fun `the starts of a plan take few values, which are deleted once the last start is removed`() {
        val leader = Leader(1)
        val many = Samples.array.copy(tasks = 3000)
        leader.cluster.addJob(JobRecord(many, Samples.now, JobStatus.LIVE), 1)
        leader.cluster.addMachines("r-1", market, Samples.now, (1..100).map { "n-$it" }, rentedInThisTerm = true)
        val placed = (0 until 3000).map { i ->
            leader.cluster.place(
                Start(TaskId("job-1", i), 5),
                leader.cluster.machines.getValue("n-${i % 100 + 1}"),
                1,
                PlacementOrigin.STARTED,
            )
        }
        leader.starts.record(placed)
        assertTrue(placed.none { it.mayBeSent(leader.records) }, "no command is sent before its start is durable")
        runBlocking { leader.records.flush() }
        assertTrue(placed.all { it.mayBeSent(leader.records) })
        val keys = store.values.keys.filter { it.startsWith(Keys.STARTS) }
        assertTrue(keys.size in 2..6, "$keys")
        for (key in keys) assertTrue(Records.size(store.values[key]?.data) < VALUE_BYTES)
        placed.forEach { leader.cluster.removePlacement(it, reported = true) }
        runBlocking { repeat(3) { leader.records.flushDeferred() } }
        assertTrue(store.values.keys.none { it.startsWith(Keys.STARTS) })
    }

    @Test
    fun `values from a time of a larger limit are read, and no value above the current limit is written`() {
        val many = Samples.array.copy(tasks = 2000, types = List(200) { "type-$it" }, zone = null)
        putJob(many)
        put(
            Keys.group("r-1"),
            MachineGroupRecord(
                market,
                Samples.now,
                (1..50).associate {
                    "n-$it" to
                        List(12) { i -> "image-$i" }
                },
            ).encode(),
        )
        put(
            "s/1-1",
            StartRecords.encode(
                (1..50).map {
                    StartRow("n-$it", 1, many.id, 10, (it * 20 until it * 20 + 20).toList())
                },
            ),
        )
        assertTrue(store.values.values.maxOf { Records.size(it.data) } > SMALL_VALUE_BYTES)
        store.maxValueBytes = SMALL_VALUE_BYTES
        store.maxTransactionOps = 8
        val leader = Leader(2, SMALL_VALUE_BYTES).rebuilt()
        val machines = leader.cluster.machines
        assertEquals(1000, machines.values.sumOf { it.placements.size })
        // Some starts end without a report, one machine fetches an image, and another gets many more starts.
        machines.values.take(5).forEach { m ->
            m.placements.values.toList().forEach { leader.cluster.removePlacement(it, reported = false) }
        }
        leader.cluster.imageFetched(machines.getValue("n-9"), "image-new")
        val placed = (1200 until 1600).map { i ->
            leader.cluster.place(Start(TaskId(many.id, i), 99), machines.getValue("n-1"), 1, PlacementOrigin.STARTED)
        }
        leader.starts.record(placed)
        runBlocking {
            withTimeout(10.seconds) { leader.records.flush() }
            withTimeout(10.seconds) { repeat(10) { leader.records.flushDeferred() } }
        }
        assertTrue(placed.all { it.mayBeSent(leader.records) })
        val next = Leader(3, SMALL_VALUE_BYTES).rebuilt().cluster
        assertEquals(400, next.machines.getValue("n-1").placements.keys.count { it.attempt == 99L })
    }

    @Test
    fun `the end of a large job fits into smaller transactions, and its remaining records are deleted later`() {
        val large = Samples.array.copy(tasks = 100_000)
        putJob(large)
        val leader = Leader(2, SMALL_VALUE_BYTES).rebuilt()
        val managed = leader.cluster.jobs.getValue(large.id)
        for (i in 0 until large.tasks) leader.cluster.markDone(managed, i)
        leader.cluster.publishCounts(managed)
        store.maxValueBytes = SMALL_VALUE_BYTES
        store.maxTransactionOps = 8
        runBlocking {
            withTimeout(10.seconds) { repeat(6) { leader.records.flushDeferred() } }
            assertEquals(13, store.values.keys.count { it.startsWith(Keys.CHUNKS) })
            JobLifecycle(state, leader.records, leader.cluster, Clocks.SYSTEM) {}.finalizeJobs {}
            assertEquals("DONE", store.get(Keys.final(large.id))?.data?.get("status"))
            assertTrue(store.values.keys.any { it.startsWith(Keys.CHUNKS) }, "some chunks do not fit")
            withTimeout(10.seconds) { repeat(6) { leader.records.flushDeferred() } }
        }
        assertEquals(listOf(Keys.final(large.id)), store.values.keys.toList())
    }

    private companion object {
        const val VALUE_BYTES = 8192
        const val SMALL_VALUE_BYTES = 2048
    }
}
