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
    private val api = SubmissionApi(state, admission, cancellations, Clocks.SYSTEM) { true }
    private val array = Samples.array.copy(team = "blue", need = Samples.array.need.copy(gpus = 0.0))

    private fun submit(body: Map<String, Any?>) = runBlocking { api.submit(Cbor.encode(body)) }

    private fun status(response: ApiResponse) = Cbor.decodeMap(response.body)["status"]

    @Test
    fun `jobs that can never run are rejected`() {
        val gang = array.copy(shape = Shape.GANG, tasks = 4)
        val cases = listOf(
            "a job within all limits" to array to 201,
            "unknown team" to array.copy(team = "green") to 422,
            "unknown zone" to array.copy(zone = "far") to 422,
            "unknown type" to array.copy(types = listOf("huge")) to 422,
            "an empty list of types" to array.copy(types = emptyList()) to 422,
            "larger than any machine" to array.copy(need = array.need.copy(cpus = 25.0)) to 422,
            "larger than the allowed machine" to
                array.copy(types = listOf("plain"), need = array.need.copy(gpus = 1.0)) to 422,
            "a task that exceeds the team's limit" to array.copy(need = array.need.copy(cpus = 21.0)) to 422,
            "an array that exceeds the team's limit runs its tasks one after another" to array.copy(tasks = 100) to 201,
            "a gang that exceeds the team's limit" to gang.copy(tasks = 5) to 422,
            "a gang within the team's limit" to gang to 201,
            "a gang that requires one zone and several zones" to gang.copy(oneZone = true, spread = true) to 422,
            "a gang that requires several zones but may use one" to gang.copy(zone = "a", spread = true) to 422,
            "a spread array restricted to one zone runs its tasks one after another" to
                array.copy(zone = "a", spread = true) to 201,
            "a service that exceeds the team's limit" to array.copy(shape = Shape.SERVICE, tasks = 5) to 422,
            "a service within the team's limit" to
                array.copy(shape = Shape.SERVICE, tasks = 4, estimate = Duration.ZERO) to 201,
            "a spread gang of one task may use one zone" to gang.copy(tasks = 1, zone = "a", spread = true) to 201,
        )
        cases.forEachIndexed { i, (case, expected) ->
            val (name, spec) = case
            assertEquals(expected, submit(JobWire.encodeSpec(spec.copy(id = "job-$i"))).status, name)
        }
    }

    @Test
    fun `a resubmission gets the state of the job even if its body differs or is malformed`() {
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
            assertEquals(200 to "done", api.cancel(array.id).let { it.status to status(it) })
            assertEquals(404, api.cancel("job-new").status)
            assertEquals(404, api.poll("job-new").status)
        }
        assertEquals(emptySet<String>(), cancellations.ids)
    }

    @Test
    fun `a job accepted under a larger value limit can be cancelled, and a new one is rejected`() = runBlocking {
        val large = array.copy(types = listOf("plain") + List(300) { "type-$it" })
        val record = JobRecords.encode(JobRecord(large, Samples.now, JobStatus.LIVE))
        store.commit(emptyList(), listOf(Change.Put(Keys.job(large.id), record)))
        store.maxValueBytes = 2048
        assertEquals("queued", status(api.poll(large.id)))
        assertEquals(200, submit(JobWire.encodeSpec(large)).status, "resubmission of the large job")
        assertEquals("withdrawn", status(api.cancel(large.id)))
        val stored = JobRecords.decode(store.get(Keys.job(large.id))!!.data)
        assertEquals(
            listOf(large.team, large.need, large.tasks),
            stored.spec.let { listOf(it.team, it.need, it.tasks) },
        )
        assertEquals(400, submit(JobWire.encodeSpec(large.copy(id = "job-2"))).status)
    }

    @Test
    fun `an unreadable record gets 503, neither 404 nor a final state`() = runBlocking {
        store.commit(emptyList(), listOf(Change.Put(Keys.job("job-1"), mapOf("job" to "?"))))
        store.commit(emptyList(), listOf(Change.Put(Keys.final("job-2"), mapOf("status" to "LATER"))))
        for (id in listOf("job-1", "job-2")) {
            assertEquals(503 to 1, api.poll(id).let { it.status to it.retryAfterS }, id)
            assertEquals(503 to 1, api.cancel(id).let { it.status to it.retryAfterS }, id)
            assertEquals(503, submit(JobWire.encodeSpec(array.copy(id = id))).status, id)
        }
    }

    @Test
    fun `every controller that confirms a cancellation to a user reports it to its peers`() = runBlocking {
        submit(JobWire.encodeSpec(array))
        val otherCancellations = CancellationLog(1.minutes, Clocks.SYSTEM)
        val otherApi = SubmissionApi(FakeStateService(store), admission, otherCancellations, Clocks.SYSTEM) { true }
        // The response to the commit is lost, so the cancellation may have been carried out.
        state.losesResponses = true
        assertEquals(503, api.cancel(array.id).status)
        state.losesResponses = false
        assertEquals(setOf(array.id), cancellations.ids)
        assertEquals("withdrawn", status(otherApi.poll(array.id)))
        assertEquals(setOf(array.id), otherCancellations.ids)
        val second = array.copy(id = "job-2")
        submit(JobWire.encodeSpec(second))
        state.refusing = true
        assertEquals(503, api.cancel(second.id).status)
        state.refusing = false
        assertEquals(setOf(array.id), cancellations.ids, "a refused commit is not carried out")
    }
}
