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

/** Which tasks are preempted for jobs of higher rank. */
class PreemptionTest {
    @Test
    fun `only tasks of lower rank are preempted, and only for urgent jobs`() {
        val smallTask = Resources(4.0, 0.0, 4.0)

        fun running(index: Int, rank: Rank, lostWork: Duration?, stopping: Boolean) =
            CapacityRelease(Start(TaskId("job-9", index), 1), smallTask, 60.seconds, rank, lostWork, stopping)

        fun fourTasks(rank: Rank, lostWork: (Int) -> Duration?, stopping: Boolean = false) =
            (0..3).map { running(it, rank, lostWork(it), stopping) }
        data class Case(val name: String, val rank: Rank, val releases: List<CapacityRelease>, val stopped: List<Int>?)
        val cases = listOf(
            Case("the least work lost", Rank.URGENT, fourTasks(Rank.NORMAL, { (10 - it).seconds }), listOf(3, 2, 1, 0)),
            Case("same rank", Rank.URGENT, fourTasks(Rank.URGENT, { 1.seconds }), null),
            Case("not urgent", Rank.NORMAL, fourTasks(Rank.IDLE, { 1.seconds }), null),
            Case("stopping already", Rank.URGENT, fourTasks(Rank.NORMAL, { 1.seconds }, stopping = true), emptyList()),
            Case("gangs are not preempted", Rank.URGENT, fourTasks(Rank.NORMAL, { null }), null),
        )
        for (case in cases) {
            val full = machine("n-1").copy(free = Resources(0.0, 0.0, 48.0), releases = lazyOf(case.releases))
            val job = waiting(Samples.gang.copy(tasks = 1, rank = case.rank))
            val plan = placement.plan(snapshot(listOf(job), listOf(full)))
            assertEquals(case.stopped.orEmpty(), plan.preempted.map { it.task.index }, case.name)
            assertEquals(case.stopped == null, plan.unplaced.isNotEmpty(), case.name)
        }
    }

    @Test
    fun `urgent work without GPUs preempts ordinary work rather than use a machine with GPUs`() {
        val task = ordinaryRelease(0)
        val plain = machine("n-1").copy(free = Resources.NONE, releases = lazyOf(listOf(task)))
        val gpu = machine("n-2", Samples.gpu)
        val job = waiting(Samples.gang.copy(tasks = 1))
        assertEquals(1, placement.plan(snapshot(listOf(job), listOf(plain, gpu))).preempted.size)
        val full = plain.copy(releases = lazyOf(emptyList()))
        assertEquals("n-2", placement.plan(snapshot(listOf(job), listOf(full, gpu))).assignments.single().host)
        val busy = gpu.copy(free = Resources.NONE, releases = lazyOf(listOf(task.copy(need = Samples.gpu.capacity))))
        assertEquals(1, placement.plan(snapshot(listOf(job), listOf(full, busy))).preempted.size)
        val protectedGpu =
            busy.copy(releases = lazyOf(listOf(task.copy(need = Samples.gpu.capacity, mustStartNow = true))))
        assertEquals(
            0,
            placement.plan(snapshot(listOf(job), listOf(full, protectedGpu))).preempted.size,
            "a GPU task that must start now would be placed again at once",
        )
        val gpuWork = waiting(Samples.array.copy(id = "job-8", types = listOf("gpu")), deadline = 600.seconds)
        assertEquals(
            0,
            placement.plan(snapshot(listOf(job, gpuWork), listOf(full, busy))).preempted.size,
            "other GPU work waits",
        )
    }

    @Test
    fun `urgent jobs preempt on machines that cache their image rather than fetch it for long`() {
        val job = waiting(Samples.gang.copy(tasks = 1, imageGb = 5.0))
        val task = ordinaryRelease(0)
        val cached = machine("n-1").copy(free = Resources.NONE, releases = lazyOf(listOf(task)), images = setOf("img"))
        val empty = machine("n-2")
        assertEquals(1, placement.plan(snapshot(listOf(job), listOf(cached, empty))).preempted.size)
        val short = job.copy(spec = job.spec.copy(imageGb = 1.0))
        assertEquals("n-2", placement.plan(snapshot(listOf(short), listOf(cached, empty))).assignments.single().host)
    }
}
