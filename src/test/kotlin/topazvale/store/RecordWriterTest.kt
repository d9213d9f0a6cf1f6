package topazvale.store

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
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

    private fun becomeLeader(): Condition {
        val version = store.get(Keys.LEADER)?.version ?: 0
        val commit = store.commit(
            listOf(Condition(Keys.LEADER, version)),
            listOf(Change.Put(Keys.LEADER, mapOf("n" to 1))),
        ) as Commit.Done
        return Condition(Keys.LEADER, commit.revision)
    }

    @Test
    fun `a write is durable only after its transaction`() = runBlocking {
        val records = RecordWriter(state, becomeLeader(), opsLimit = 2)
        val tickets = (1..5).map { records.put("m/$it") { mapOf("v" to it) } }
        assertTrue(tickets.none(records::isDurable))
        records.flush()
        assertTrue(tickets.all(records::isDurable))
        assertEquals(mapOf("v" to 3L), store.get("m/3")?.data)
        records.delete("m/3")
        records.flush()
        assertEquals(mapOf("v" to 3L), store.get("m/3")?.data, "flush makes no deferred writes")
        records.flushDeferred()
        assertEquals(null, store.get("m/3"))
    }

    @Test
    fun `a former leader cannot write`() {
        val formerLeader = RecordWriter(state, becomeLeader(), opsLimit = 10)
        becomeLeader()
        formerLeader.put("m/1") { mapOf("v" to 1) }
        assertThrows(DeposedException::class.java) { runBlocking { formerLeader.flush() } }
        assertEquals(null, store.get("m/1"))
    }

    /** Guards against fencing tokens from transactions that do not prove this leader to lead. */
    @Test
    fun `only a successful transaction under the leader key confirms a revision`() = runBlocking {
        val fence = becomeLeader()
        val records = RecordWriter(state, fence, opsLimit = 10)
        assertEquals(fence.version, records.confirmedRevision)
        records.put("m/1") { mapOf("v" to 1) }
        records.flush()
        val confirmed = records.confirmedRevision
        assertEquals(store.get("m/1")?.version, confirmed)
        records.put("m/2") { mapOf("v" to 1) }
        state.losesResponses = true
        withTimeoutOrNull(1.seconds) { records.flush() }
        assertEquals(confirmed, records.confirmedRevision, "a transaction without a response")
        state.losesResponses = false
        val successor = becomeLeader()
        records.put("m/3") { mapOf("v" to 1) }
        assertThrows(DeposedException::class.java) { runBlocking { records.flush() } }
        assertTrue(records.confirmedRevision < successor.version, "the successor's token is higher")
    }

    @Test
    fun `a delayed transaction neither undoes a later write nor prevents one`() = runBlocking {
        val fence = becomeLeader()
        val records = RecordWriter(state, fence, opsLimit = 10)
        records.put("m/1") { mapOf("v" to 1) }
        records.flush()
        val formerVersion = store.get("m/1")!!.version
        // An abandoned transaction that is carried out after the next one must not undo it.
        val staleConditions = listOf(Condition("m/1", formerVersion), fence)
        records.put("m/1") { mapOf("v" to 2) }
        records.flush()
        assertEquals(
            Commit.Failed(listOf("m/1")),
            store.commit(staleConditions, listOf(Change.Put("m/1", mapOf("v" to 1)))),
        )
        // A delayed transaction of another writer changes the key in between: the next value is written all the same.
        store.commit(emptyList(), listOf(Change.Put("m/1", mapOf("v" to 9))))
        records.put("m/1") { mapOf("v" to 3) }
        records.flush()
        assertEquals(mapOf("v" to 3L), store.get("m/1")?.data)
    }

    @Test
    fun `what the state service rejects as too large is not sent unchanged forever`() = runBlocking {
        val records = RecordWriter(state, becomeLeader(), opsLimit = 16)
        store.maxTransactionOps = 3
        store.maxValueBytes = 200
        (1..10).forEach { i -> records.put("m/$i") { mapOf("v" to i) } }
        withTimeout(5.seconds) { records.flush() }
        assertEquals(10, store.values.keys.count { it.startsWith("m/") })
        // A single value that is too large delays only what waits for it.
        val tooLarge = records.put("m/wide") { mapOf("v" to "x".repeat(300)) }
        val other = records.put("m/next") { mapOf("v" to 1) }
        withTimeout(1.seconds) { records.flush() }
        assertEquals(mapOf("v" to 1L), store.get("m/next")?.data)
        assertEquals(listOf(false, true), listOf(tooLarge, other).map(records::isDurable))
        // Once the value is small enough, it is written.
        records.putDeferred("m/wide") { mapOf("v" to "x") }
        records.flushDeferred()
        assertTrue(records.isDurable(tooLarge))
    }

    @Test
    fun `the computed size of a record is at least that of its text form`() {
        val cases = mapOf(
            mapOf("a" to "bc", "d" to listOf(1, 2.5, true)) to """{"a":"bc","d":[1,2.5,true]}""",
            mapOf("a" to "\"\\") to """{"a":"\"\\"}""",
            mapOf("a" to "\u1234\n") to """{"a":"\u1234\u000a"}""",
        )
        for ((record, text) in cases) assertTrue(Records.size(record) >= text.length, text)
    }

    @Test
    fun `the done tasks of a large job are stored in chunks within the value limit`() {
        val done = BitSet().apply { set(0, 100_000, true) }.apply { for (i in 0 until 100_000 step 2) clear(i) }
        val chunks = (0..99_999 / Keys.CHUNK_TASKS).map { ChunkRecords.encode(done, it) }
        assertTrue(chunks.all { (it["done"] as String).length < 8 * 1024 })
        val decoded = BitSet().also { chunks.forEachIndexed { i, chunk -> ChunkRecords.decodeInto(chunk, i, it) } }
        assertEquals(done, decoded)
    }
}
