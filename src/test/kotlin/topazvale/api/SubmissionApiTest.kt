package topazvale.api

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.fake.FakeStateService
import topazvale.fake.FakeStateStore
import topazvale.mesh.CancellationLog
import topazvale.model.Clocks
import topazvale.model.JobRecord
import topazvale.model.JobStatus
import topazvale.model.Shape
import topazvale.store.JobRecords
import topazvale.store.Keys
import topazvale.wire.Cbor
import topazvale.wire.Change
import topazvale.wire.JobWire
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

class SubmissionApiTest {
    private val store = FakeStateStore()
    private val state = FakeStateService(store)
    private val admission = JobAdmission(Samples.teams, valueBytes = 2048) { Samples.types.values }
    private val cancellations = CancellationLog(1.minutes, Clocks.SYSTEM)
    private val users = SubmissionApi(state, admission, cancellations, Clocks.SYSTEM) { true }
    private val array = Samples.array.copy(team = "blue", need = Samples.array.need.copy(gpus = 0.0))

    private fun submit(body: Map<String, Any?>) = runBlocking { users.submit(Cbor.encode(body)) }

    private fun status(answer: ApiResponse) = Cbor.decodeMap(answer.body)["status"]

    @Test
    fun `what can never run is refused`() {
        val gang = array.copy(shape = Shape.GANG, tasks = 4)
        val cases = listOf(
            "as it is" to array to 201,
            "unknown team" to array.copy(team = "green") to 422,
            "unknown zone" to array.copy(zone = "far") to 422,
            "unknown type" to array.copy(types = listOf("huge")) to 422,
            "no type at all" to array.copy(types = emptyList()) to 422,
            "larger than any machine" to array.copy(need = array.need.copy(cpus = 25.0)) to 422,
            "larger than the allowed machine" to
                array.copy(types = listOf("plain"), need = array.need.copy(gpus = 1.0)) to 422,
            "a task over the team's limit" to array.copy(need = array.need.copy(cpus = 21.0)) to 422,
            "an array over the team's limit runs bit by bit" to array.copy(tasks = 100) to 201,
            "a gang over the team's limit" to gang.copy(tasks = 5) to 422,
            "a gang within it" to gang to 201,
            "a gang that must be in one zone and in several" to gang.copy(oneZone = true, spread = true) to 422,
            "a gang that must be in several zones and may be in one" to gang.copy(zone = "a", spread = true) to 422,
            "an array bound to one zone and spread runs bit by bit" to array.copy(zone = "a", spread = true) to 201,
            "a service over the team's limit" to array.copy(shape = Shape.SERVICE, tasks = 5) to 422,
            "a service within it" to array.copy(shape = Shape.SERVICE, tasks = 4, estimate = Duration.ZERO) to 201,
            "a gang of one may be spread in one zone" to gang.copy(tasks = 1, zone = "a", spread = true) to 201,
        )
        cases.forEachIndexed { i, (case, expected) ->
            val (name, spec) = case
            assertEquals(expected, submit(JobWire.encodeSpec(spec.copy(id = "job-$i"))).status, name)
        }
    }

    @Test
    fun `a repeated submission gets the job's state whatever its body now says`() {
        val body = JobWire.encodeSpec(array)
        assertEquals(201, submit(body).status)
        val changes = listOf("steps" to -1, "owner" to "green", "cores" to 900.0)
        val repeats = listOf(body, body - "queue") + changes.map { body + it }
        for (repeat in repeats) assertEquals(200 to "queued", submit(repeat).let { it.status to status(it) }, "$repeat")
        store.commit(
            emptyList(),
            listOf(
                Change.Delete(Keys.job(array.id)),
                Change.Put(Keys.final(array.id), JobRecords.encodeFinal(JobStatus.DONE)),
            ),
        )
        for (repeat in repeats) assertEquals(200 to "done", submit(repeat).let { it.status to status(it) }, "$repeat")
        assertEquals(400, submit(JobWire.encodeSpec(array.copy(id = "job-new")) - "queue").status)
        runBlocking {
            assertEquals(200 to "done", users.cancel(array.id).let { it.status to status(it) })
            assertEquals(404, users.cancel("job-new").status)
            assertEquals(404, users.poll("job-new").status)
        }
        assertEquals(emptySet<String>(), cancellations.ids)
    }

    @Test
    fun `a job accepted when values could be larger can be cancelled, and a larger one is refused`() = runBlocking {
        val large = array.copy(types = listOf("plain") + List(300) { "type-$it" })
        val record = JobRecords.encode(JobRecord(large, Samples.now, JobStatus.LIVE))
        store.commit(emptyList(), listOf(Change.Put(Keys.job(large.id), record)))
        store.mostBytes = 2048
        assertEquals("queued", status(users.poll(large.id)))
        assertEquals(200, submit(JobWire.encodeSpec(large)).status, "a repeated submission of it")
        assertEquals("withdrawn", status(users.cancel(large.id)))
        val kept = JobRecords.decode(store.get(Keys.job(large.id))!!.data)
        assertEquals(listOf(large.team, large.need, large.tasks), kept.spec.let { listOf(it.team, it.need, it.tasks) })
        assertEquals(400, submit(JobWire.encodeSpec(large.copy(id = "job-2"))).status)
    }

    @Test
    fun `a record that cannot be read is neither missing nor an end`() = runBlocking {
        store.commit(emptyList(), listOf(Change.Put(Keys.job("job-1"), mapOf("job" to "?"))))
        store.commit(emptyList(), listOf(Change.Put(Keys.final("job-2"), mapOf("status" to "LATER"))))
        for (id in listOf("job-1", "job-2")) {
            assertEquals(503 to 1, users.poll(id).let { it.status to it.retryAfterS }, id)
            assertEquals(503 to 1, users.cancel(id).let { it.status to it.retryAfterS }, id)
            assertEquals(503, submit(JobWire.encodeSpec(array.copy(id = id))).status, id)
        }
    }

    @Test
    fun `every node that tells a user of a cancellation names it to the others`() = runBlocking {
        submit(JobWire.encodeSpec(array))
        val other = CancellationLog(1.minutes, Clocks.SYSTEM)
        val elsewhere = SubmissionApi(FakeStateService(store), admission, other, Clocks.SYSTEM) { true }
        // The answer gets lost: it may have been carried out.
        state.losingAnswers = true
        assertEquals(503, users.cancel(array.id).status)
        state.losingAnswers = false
        assertEquals(setOf(array.id), cancellations.ids)
        assertEquals("withdrawn", status(elsewhere.poll(array.id)))
        assertEquals(setOf(array.id), other.ids)
        val second = array.copy(id = "job-2")
        submit(JobWire.encodeSpec(second))
        state.refusing = true
        assertEquals(503, users.cancel(second.id).status)
        state.refusing = false
        assertEquals(setOf(array.id), cancellations.ids, "what was refused was not carried out")
    }
}
