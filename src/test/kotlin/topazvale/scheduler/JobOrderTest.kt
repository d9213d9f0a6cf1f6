package topazvale.scheduler

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.Samples.snapshot
import topazvale.Samples.waiting
import topazvale.model.Objective
import topazvale.model.ObjectiveKind
import topazvale.model.Rank
import kotlin.time.Duration.Companion.seconds

/** Which jobs are placed first when there is not enough capacity for all. */
class JobOrderTest {
    @Test
    fun `jobs that can still meet their deadline come first, those with the least work before the others`() {
        fun job(id: String, due: Int, tasks: Int) =
            waiting(Samples.array.copy(id = id, tasks = tasks), deadline = due.seconds)

        val jobs = listOf(job("job-late", 5, 1), job("job-long", 60, 12), job("job-short", 90, 2))
        val order = JobOrder().sorted(snapshot(jobs, emptyList())).map { it.spec.id }
        assertEquals(listOf("job-short", "job-long", "job-late"), order)
    }

    /** Under overload, first come, first served would make every job late. */
    @Test
    fun `jobs that can still meet an objective come before those that have missed it, the smallest first`() {
        fun job(id: String, waited: Int, tasks: Int) =
            waiting(Samples.gang.copy(id = id, tasks = tasks)).copy(submitted = Samples.now - waited.seconds)

        val objectives = listOf(5, 50).map { Objective(Samples.gang.queue, ObjectiveKind.STARTED, it.seconds, 1.0) }
        val jobs =
            listOf(job("job-missed", 60, 1), job("job-late", 20, 2), job("job-large", 2, 8), job("job-small", 1, 2))
        fun order(jobs: List<WaitingJob>, placed: Int) = JobOrder().sorted(
            snapshot(jobs, emptyList()).copy(
                objectives = mapOf(Samples.gang.queue to objectives),
                placedByQueue = mapOf(Samples.gang.queue to placed),
            ),
        ).map { it.spec.id }
        assertEquals(listOf("job-small", "job-large", "job-late", "job-missed"), order(jobs, placed = 20))
        assertEquals(
            listOf("job-missed", "job-late", "job-large", "job-small"),
            order(jobs, placed = 200),
            "few wait: in arrival order",
        )
        val starving = job("job-starving", 151, 8)
        assertEquals("job-starving", order(jobs + starving, placed = 20).first(), "a starving gang goes first")
    }

    @Test
    fun `a starving job without any start goes before all others, an aged one that has started only in its rank`() {
        fun job(id: String, waited: Int, tasks: Int, hasStarted: Boolean = false, rank: Rank = Rank.NORMAL) =
            waiting(Samples.array.copy(id = id, tasks = tasks, rank = rank), deadline = 600.seconds)
                .copy(submitted = Samples.now - waited.seconds, hasStarted = hasStarted)
        val jobs = listOf(
            job("job-small", 5, 1),
            job("job-started", 130, 50, hasStarted = true),
            job("job-large", 100, 100),
            job("job-larger", 120, 200),
            job("job-aged", 190, 300, hasStarted = true),
            job("job-urgent", 1, 1, rank = Rank.URGENT),
        )
        val order = JobOrder().sorted(snapshot(jobs, emptyList())).map { it.spec.id }
        assertEquals(listOf("job-larger", "job-large", "job-urgent", "job-aged", "job-small", "job-started"), order)
    }
}
