package topazvale.scheduler

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.Samples.machine
import topazvale.Samples.snapshot
import topazvale.Samples.waiting
import topazvale.model.Rank
import topazvale.model.Resources
import topazvale.model.Start
import topazvale.model.TaskId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What has to stop to make room for jobs of higher rank. */
class PreemptionTest {
    @Test
    fun `lower ranks make room for urgent jobs, and only they`() {
        val smallTask = Resources(4.0, 0.0, 4.0)

        fun running(index: Int, rank: Rank, lost: Duration?, stopping: Boolean) =
            CapacityRelease(Start(TaskId("job-9", index), 1), smallTask, 60.seconds, rank, lost, stopping)

        fun four(rank: Rank, lost: (Int) -> Duration?, stopping: Boolean = false) =
            (0..3).map { running(it, rank, lost(it), stopping) }
        data class Case(val name: String, val rank: Rank, val releases: List<CapacityRelease>, val stopped: List<Int>?)
        val cases = listOf(
            Case("the least work lost", Rank.URGENT, four(Rank.NORMAL, { (10 - it).seconds }), listOf(3, 2, 1, 0)),
            Case("same rank", Rank.URGENT, four(Rank.URGENT, { 1.seconds }), null),
            Case("not urgent", Rank.NORMAL, four(Rank.IDLE, { 1.seconds }), null),
            Case("stopping already", Rank.URGENT, four(Rank.NORMAL, { 1.seconds }, stopping = true), emptyList()),
            Case("gangs are spared", Rank.URGENT, four(Rank.NORMAL, { null }), null),
        )
        for (c in cases) {
            val full = machine("n-1").copy(free = Resources(0.0, 0.0, 48.0), releases = lazyOf(c.releases))
            val job = waiting(Samples.gang.copy(tasks = 1, rank = c.rank))
            val plan = placement.plan(snapshot(listOf(job), listOf(full)))
            assertEquals(c.stopped.orEmpty(), plan.preempted.map { it.task.index }, c.name)
            assertEquals(c.stopped == null, plan.unplaced.isNotEmpty(), c.name)
        }
    }

    @Test
    fun `urgent work without GPUs stops ordinary work rather than take a machine with GPUs`() {
        val runs = ordinaryRelease(0)
        val plain = machine("n-1").copy(free = Resources.NONE, releases = lazyOf(listOf(runs)))
        val gpu = machine("n-2", Samples.gpu)
        val job = waiting(Samples.gang.copy(tasks = 1))
        assertEquals(1, placement.plan(snapshot(listOf(job), listOf(plain, gpu))).preempted.size)
        val full = plain.copy(releases = lazyOf(emptyList()))
        assertEquals("n-2", placement.plan(snapshot(listOf(job), listOf(full, gpu))).assignments.single().host)
        val busy = gpu.copy(free = Resources.NONE, releases = lazyOf(listOf(runs.copy(need = Samples.gpu.capacity))))
        assertEquals(1, placement.plan(snapshot(listOf(job), listOf(full, busy))).preempted.size)
        val pressing = busy.copy(releases = lazyOf(listOf(runs.copy(need = Samples.gpu.capacity, mustStartNow = true))))
        assertEquals(
            0,
            placement.plan(snapshot(listOf(job), listOf(full, pressing))).preempted.size,
            "it would be back at once",
        )
        val wanting = waiting(Samples.array.copy(id = "job-8", types = listOf("gpu")), deadline = 600.seconds)
        assertEquals(
            0,
            placement.plan(snapshot(listOf(job, wanting), listOf(full, busy))).preempted.size,
            "more work with GPUs waits",
        )
    }

    @Test
    fun `urgent jobs make room where the image is rather than fetch it for long`() {
        val job = waiting(Samples.gang.copy(tasks = 1, imageGb = 5.0))
        val runs = ordinaryRelease(0)
        val cached = machine("n-1").copy(free = Resources.NONE, releases = lazyOf(listOf(runs)), images = setOf("img"))
        val empty = machine("n-2")
        assertEquals(1, placement.plan(snapshot(listOf(job), listOf(cached, empty))).preempted.size)
        val short = job.copy(spec = job.spec.copy(imageGb = 1.0))
        assertEquals("n-2", placement.plan(snapshot(listOf(short), listOf(cached, empty))).assignments.single().host)
    }
}
