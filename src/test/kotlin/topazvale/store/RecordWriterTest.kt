package topazvale.store

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.fake.FakeStateService
import topazvale.fake.FakeStateStore
import topazvale.state.Commit
import topazvale.wire.Change
import topazvale.wire.Condition
import java.util.BitSet
import kotlin.time.Duration.Companion.seconds

class RecordWriterTest {
    private val store = FakeStateStore()
    private val state = FakeStateService(store)

    private fun leader(): Condition {
        val version = store.get(Keys.LEADER)?.version ?: 0
        val done = store.commit(
            listOf(Condition(Keys.LEADER, version)),
            listOf(Change.Put(Keys.LEADER, mapOf("n" to 1))),
        ) as Commit.Done
        return Condition(Keys.LEADER, done.revision)
    }

    @Test
    fun `a change is durable once written, not before`() = runBlocking {
        val records = RecordWriter(state, leader(), opsLimit = 2)
        val tickets = (1..5).map { records.put("m/$it") { mapOf("v" to it) } }
        assertTrue(tickets.none(records::isDurable))
        records.flush()
        assertTrue(tickets.all(records::isDurable))
        assertEquals(mapOf("v" to 3L), store.get("m/3")?.data)
        records.delete("m/3")
        records.flush()
        assertEquals(mapOf("v" to 3L), store.get("m/3")?.data, "what can wait is written apart")
        records.flushDeferred()
        assertEquals(null, store.get("m/3"))
    }

    @Test
    fun `a former leader writes nothing`() {
        val old = RecordWriter(state, leader(), opsLimit = 10)
        leader()
        old.put("m/1") { mapOf("v" to 1) }
        assertThrows(DeposedException::class.java) { runBlocking { old.flush() } }
        assertEquals(null, store.get("m/1"))
    }

    @Test
    fun `answers that get lost are made up for`() = runBlocking {
        val fence = leader()
        val records = RecordWriter(state, fence, opsLimit = 10)
        records.put("m/1") { mapOf("v" to 1) }
        records.flush()
        val before = store.get("m/1")!!.version
        // Given up, and carried out after the next one: it must not undo it.
        val late = listOf(Condition("m/1", before), fence)
        records.put("m/1") { mapOf("v" to 2) }
        records.flush()
        assertEquals(Commit.Failed(listOf("m/1")), store.commit(late, listOf(Change.Put("m/1", mapOf("v" to 1)))))
        // Somebody's late transaction came in between: the wanted value is written all the same.
        store.commit(emptyList(), listOf(Change.Put("m/1", mapOf("v" to 9))))
        records.put("m/1") { mapOf("v" to 3) }
        records.flush()
        assertEquals(mapOf("v" to 3L), store.get("m/1")?.data)
    }

    @Test
    fun `what the state service finds too large is not sent as it is for ever`() = runBlocking {
        val records = RecordWriter(state, leader(), opsLimit = 16)
        store.mostOps = 3
        store.mostBytes = 200
        (1..10).forEach { i -> records.put("m/$i") { mapOf("v" to i) } }
        withTimeout(5.seconds) { records.flush() }
        assertEquals(10, store.values.keys.count { it.startsWith("m/") })
        // A single value that is too large holds up what needs it, and nothing else.
        val wide = records.put("m/wide") { mapOf("v" to "x".repeat(300)) }
        val next = records.put("m/next") { mapOf("v" to 1) }
        withTimeout(1.seconds) { records.flush() }
        assertEquals(mapOf("v" to 1L), store.get("m/next")?.data)
        assertEquals(listOf(false, true), listOf(wide, next).map(records::isDurable))
        // What has become small enough is written after all.
        records.putDeferred("m/wide") { mapOf("v" to "x") }
        records.flushDeferred()
        assertTrue(records.isDurable(wide))
    }

    @Test
    fun `the size of a record is not below that of its text form`() {
        val cases = mapOf(
            mapOf("a" to "bc", "d" to listOf(1, 2.5, true)) to """{"a":"bc","d":[1,2.5,true]}""",
            mapOf("a" to "\"\\") to """{"a":"\"\\"}""",
            mapOf("a" to "\u1234\n") to """{"a":"\u1234\u000a"}""",
        )
        for ((record, text) in cases) assertTrue(Records.size(record) >= text.length, text)
    }

    @Test
    fun `a large job's tasks are kept in chunks within the value limit`() {
        val done = BitSet().apply { set(0, 100_000, true) }.apply { for (i in 0 until 100_000 step 2) clear(i) }
        val chunks = (0..99_999 / Keys.CHUNK_TASKS).map { ChunkRecords.encode(done, it) }
        assertTrue(chunks.all { (it["done"] as String).length < 8 * 1024 })
        val back = BitSet().also { chunks.forEachIndexed { i, c -> ChunkRecords.decodeInto(c, i, it) } }
        assertEquals(done, back)
    }
}
