package topazvale.reconcile

import java.util.BitSet
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.model.Clocks
import topazvale.model.JobRecord
import topazvale.model.JobSpec
import topazvale.model.JobStatus
import topazvale.model.Market
import topazvale.model.Start
import topazvale.model.TaskId
import topazvale.standin.MemoryState
import topazvale.standin.MemoryStore
import topazvale.store.ChunkRecords
import topazvale.store.GroupRecord
import topazvale.store.JobRecords
import topazvale.store.Keys
import topazvale.store.Mirror
import topazvale.store.Records
import topazvale.store.StartRecords
import topazvale.store.StartRow
import topazvale.wire.Change
import topazvale.wire.Condition

class RebuildTest {
    private val store = MemoryStore()
    private val state = MemoryState(store)
    private val market = Market("plain", "a", spot = false)

    private fun put(key: String, data: Map<String, Any?>) = store.commit(emptyList(), listOf(Change.Put(key, data)))

    private inner class Leader(token: Long) {
        val mirror = Mirror(state, Condition(Keys.LEADER, 0), 16)
        val starts = StartLog(mirror, token, VALUE)
        val fleet = Fleet(mirror, starts, VALUE, Clocks.SYSTEM)

        fun rebuilt() = also { runBlocking { Rebuild(state, mirror, fleet, starts).run() } }
    }

    private fun job(spec: JobSpec) = put(Keys.job(spec.id), JobRecords.encode(JobRecord(spec, Samples.now, JobStatus.LIVE)))

    @Test
    fun `of what is on record only starts that may still be there count`() {
        job(Samples.array)
        job(Samples.gang)
        put(Keys.group("r-1"), GroupRecord(market, Samples.now, mapOf("n-1" to listOf("img"), "n-2" to emptyList())).encode())
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
        val fleet = Leader(2).rebuilt().fleet
        val there = fleet.machines.values.flatMap { m -> m.placed.keys.map { Triple(m.host, it.task.toString(), it.attempt) } }
        val expected = setOf(
            Triple("n-1", "job-1/0", 10L), // the only start of its task
            Triple("n-2", "job-1/1", 20L), // begun anew elsewhere; job-1/3 is done
            Triple("n-1", "job-2/0", 21L), // the gang began anew as a whole
        ) // job-over has ended, and n-gone went back before its group was written without it
        assertEquals(expected, there.toSet())
        assertEquals(setOf("img"), fleet.machines.getValue("n-1").images.toSet())
        assertEquals(2L, fleet.machines.getValue("n-2").session)
    }

    @Test
    fun `a plan's starts are few values, which go when the last start is gone`() {
        val leader = Leader(1)
        val many = Samples.array.copy(tasks = 3000)
        leader.fleet.jobs["job-1"] = Job(JobRecord(many, Samples.now, JobStatus.LIVE), 1)
        leader.fleet.add("r-1", market, Samples.now, (1..100).map { "n-$it" }, ours = true)
        val placed = (0 until 3000).map { i ->
            leader.fleet.place(Start(TaskId("job-1", i), 5), leader.fleet.machines.getValue("n-${i % 100 + 1}"), 1, many.need, false)
        }
        leader.starts.record(placed)
        assertTrue(placed.all { it.ticket > leader.mirror.durable }, "no command leaves before it is written")
        runBlocking { leader.mirror.flush() }
        assertTrue(placed.all { it.ticket <= leader.mirror.durable })
        val keys = store.values.keys.filter { it.startsWith(Keys.STARTS) }
        assertTrue(keys.size in 2..6, "$keys")
        for (key in keys) assertTrue(Records.size(store.values[key]?.data) < VALUE)
        placed.forEach { leader.fleet.remove(it, heard = true) }
        runBlocking { repeat(3) { leader.mirror.flushSpare() } }
        assertTrue(store.values.keys.none { it.startsWith(Keys.STARTS) })
    }

    private companion object {
        const val VALUE = 8192
    }
}
