package topazvale.reconcile

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.model.Clocks
import topazvale.model.ExitCause
import topazvale.model.JobRecord
import topazvale.model.JobStatus
import topazvale.model.Market
import topazvale.model.Order
import topazvale.model.Report
import topazvale.model.ReportedTask
import topazvale.model.Start
import topazvale.model.TaskId
import topazvale.model.TaskState
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class ReportProcessorTest {
    private val market = Market("plain", "a", spot = false)

    /** A leader with token 7 that tracks attempt 5 of the first task of job-1 on n-1, in session 3. */
    private inner class Leader(inherited: Boolean, clocks: Clocks = Clocks.SYSTEM) {
        private val term = TermFixture(clocks = clocks)
        val cluster = term.cluster
        val reports = term.reports
        val job = cluster.addJob(JobRecord(Samples.array, Samples.now, JobStatus.LIVE), 1)
        val start = Start(TaskId("job-1", 0), 5)

        init {
            cluster.addMachines("r", market, Samples.now, listOf("n-1"), rentedInThisTerm = !inherited)
            val machine = cluster.machines.getValue("n-1")
            machine.session = 3
            val placed = cluster.place(
                start,
                machine,
                3,
                if (inherited) PlacementOrigin.RECORDED else PlacementOrigin.STARTED,
            )
            if (inherited) {
                term.starts.loadRecorded(placed, StartBatch("s/1-1"))
            } else {
                term.starts.record(listOf(placed))
            }
        }

        val tracked: Boolean get() = 0 in job.placements
        val machine get() = cluster.machines["n-1"]
    }

    private fun report(session: Long, sequence: Long, token: Long, vararg tasks: ReportedTask) =
        Report("n-1", "127.0.0.1:1", market, session, sequence, token, null, tasks.toList())

    private fun task(attempt: Long, state: TaskState, cause: ExitCause? = null) =
        ReportedTask(Start(TaskId("job-1", 0), attempt), state, cause, false)

    /**
     * Guards against a task that runs again after its exit: a direct command of this leader may be delayed, and a
     * worker that was told to forget the start would carry it out.
     */
    @Test
    fun `a worker may not forget an orphaned task's exit while a command of this leader could start it again`() {
        val own = 7L shl 28
        val cases = listOf(
            Triple("started in this term", own + 9, false),
            Triple("started in an earlier term", own - 9, true),
        )
        for ((name, attempt, mayBeCleared) in cases) {
            val leader = Leader(inherited = false)
            leader.reports.applyReport(report(3, 1, 7, task(attempt, TaskState.RUNNING)), ReportSource.ANSWERED)
            assertTrue(leader.machine!!.placements.getValue(Start(TaskId("job-1", 0), attempt)).isOrphaned)
            val exit = report(3, 2, 7, task(attempt, TaskState.EXITED, ExitCause.STOPPED))
            leader.reports.applyReport(exit, ReportSource.ANSWERED)
            val clear = Order.Clear(Start(TaskId("job-1", 0), attempt))
            assertEquals(mayBeCleared, clear in leader.reports.response(leader.machine!!, exit).orders, name)
        }
    }

    @Test
    fun `a start is tracked until it is confirmed absent`() {
        data class Case(val name: String, val inherited: Boolean, val reports: List<Report>, val tracked: Boolean)
        val running = task(5, TaskState.RUNNING)
        val cases = listOf(
            Case("not commanded yet", false, listOf(report(3, 1, 7)), true),
            Case("listed, then missing", false, listOf(report(3, 1, 7, running), report(3, 2, 7)), false),
            Case(
                "an older report arrives after a newer one",
                false,
                listOf(report(3, 5, 7, running), report(3, 4, 7)),
                true,
            ),
            Case("a copy of the same report", false, listOf(report(3, 5, 7, running), report(3, 5, 7)), true),
            Case("a report of an earlier session", false, listOf(report(3, 5, 7, running), report(2, 99, 7)), true),
            Case("the first to a new leader, under the former token", true, listOf(report(3, 4, 6)), true),
            Case("the first to a new leader, from an earlier session", true, listOf(report(2, 4, 7)), true),
            Case("the first to a new leader, under its token", true, listOf(report(3, 4, 7)), false),
            Case("a later session", true, listOf(report(4, 1, 0)), false),
            Case(
                "a later session, then an old copy that lists it",
                true,
                listOf(report(4, 1, 7), report(3, 9, 6, running)),
                false,
            ),
        )
        for (c in cases) {
            val leader = Leader(c.inherited)
            c.reports.forEach { leader.reports.applyReport(it, ReportSource.ANSWERED) }
            assertEquals(c.tracked, leader.tracked, c.name)
        }
    }

    @Test
    fun `delayed copies renew no lease, finish no task twice and clear no running task`() {
        val leader = Leader(inherited = false)
        leader.reports.applyReport(report(3, 5, 7, task(5, TaskState.RUNNING)), ReportSource.ANSWERED)
        val lastAnsweredAt = leader.machine!!.lastAnsweredReportAt
        val exited = report(3, 4, 7, task(5, TaskState.EXITED, ExitCause.ERROR))
        assertFalse(leader.reports.applyReport(exited, ReportSource.ANSWERED))
        assertEquals(lastAnsweredAt, leader.machine!!.lastAnsweredReportAt, "a copy does not renew the lease")
        assertEquals(0, leader.machine!!.consecutiveFailures)
        val done = report(3, 6, 7, task(5, TaskState.EXITED, ExitCause.DONE))
        leader.reports.applyReport(done, ReportSource.ANSWERED)
        leader.reports.applyReport(done, ReportSource.ANSWERED)
        assertEquals(1, leader.job.doneCount)
        assertEquals(listOf(Order.Clear(leader.start)), leader.reports.response(leader.machine!!, done).orders)
        val restarted = report(3, 7, 7, task(6, TaskState.RUNNING))
        leader.reports.applyReport(restarted, ReportSource.ANSWERED)
        assertTrue(leader.reports.response(leader.machine!!, restarted).orders.none { it is Order.Clear })
    }

    @Test
    fun `a start sent in a response that is still in flight is not absent when a direct stop finds no task`() {
        val leader = Leader(inherited = false)
        val machine = leader.machine!!
        machine.placements.getValue(leader.start).ticket = 0
        machine.group.ticket = 0
        val first = report(3, 5, 7)
        leader.reports.applyReport(first, ReportSource.ANSWERED)
        assertEquals(listOf(Order.Run(leader.start)), leader.reports.response(machine, first).orders)
        machine.placements.getValue(leader.start).stopRequest = StopRequest(StopReason.JOB_OVER, Duration.ZERO)
        // The stop, a direct command, arrived before the response with the start.
        leader.reports.applyReport(report(3, 6, 7), ReportSource.DIRECT)
        assertTrue(leader.tracked, "the response may still start it")
        leader.reports.applyReport(report(3, 7, 7), ReportSource.ANSWERED)
        assertFalse(leader.tracked, "the worker sent the next report after it received or abandoned the response")
    }

    @Test
    fun `a session first reported in the response to a direct command has a lease of its own`() {
        val time = TestTimeSource()
        val leader = Leader(inherited = false, Clocks(time, Clock.System))
        leader.reports.applyReport(report(3, 5, 7), ReportSource.ANSWERED)
        val machine = leader.machine!!
        time += 10.seconds
        leader.reports.applyReport(report(3, 6, 7), ReportSource.DIRECT)
        assertEquals(
            10.seconds,
            machine.lastAnsweredReportAt?.elapsedNow(),
            "a response to a direct command does not renew",
        )
        leader.reports.applyReport(report(4, 1, 7), ReportSource.DIRECT)
        assertEquals(0.seconds, machine.lastAnsweredReportAt?.elapsedNow(), "the new session may have begun just now")
    }

    /**
     * Guards against expiring a lease that is still valid. A response to a direct command arrives before a report that
     * was sent earlier, and the report is answered all the same. The answer renews the worker's lease, so the leader
     * must extend its view of the lease too. This was the fault in the second record of the incident.
     */
    @Test
    fun `a report that arrives behind a direct response renews the lease that the leader tracks`() {
        data class Case(val name: String, val sequence: Long, val age: Duration)
        val cases = listOf(
            Case("one direct response arrived before it", 6, 0.seconds),
            Case("a delayed copy of an answered report: the worker reads no second response", 5, 10.seconds),
            Case("an even older report, which the worker abandoned before it sent the next", 4, 10.seconds),
        )
        for (c in cases) {
            val time = TestTimeSource()
            val leader = Leader(inherited = false, Clocks(time, Clock.System))
            leader.reports.applyReport(report(3, 5, 7), ReportSource.ANSWERED)
            time += 9.seconds
            leader.reports.applyReport(report(3, 7, 7), ReportSource.DIRECT)
            time += 1.seconds
            leader.reports.applyReport(report(3, c.sequence, 7), ReportSource.ANSWERED)
            assertEquals(c.age, leader.machine!!.lastAnsweredReportAt?.elapsedNow(), c.name)
        }
    }

    /**
     * Guards against an orphaned task that only one of the two indexes, by job and by machine, contains: the fault in
     * the first record of the incident.
     */
    @Test
    fun `an orphaned task is stopped, and occupies its task and its team's limit until it is absent`() {
        val leader = Leader(inherited = false)
        leader.cluster.addMachines("r-2", market, Samples.now, listOf("n-2"), rentedInThisTerm = true)
        val orphan = ReportedTask(Start(TaskId("job-1", 0), 4), TaskState.RUNNING, null, false)
        val orphanReport = Report("n-2", "127.0.0.1:2", market, 1, 1, 7, null, listOf(orphan))
        leader.reports.applyReport(orphanReport, ReportSource.ANSWERED)
        val orders = leader.reports.response(leader.cluster.machines.getValue("n-2"), orphanReport).orders
        assertEquals(listOf<Order>(Order.Stop(orphan.start, Duration.ZERO)), orders, "it must stop")
        assertEquals(Samples.array.need * 2, leader.cluster.usage()["red"], "both count towards the team's limit")
        val exited = task(5, TaskState.EXITED, ExitCause.STOPPED)
        leader.reports.applyReport(report(3, 6, 7, exited), ReportSource.ANSWERED)
        assertEquals(Samples.array.need, leader.cluster.usage()["red"], "the orphaned task still runs")
        assertEquals(listOf(1, 2, 3), leader.job.nextTasks(9), "the task must not start a second time")
        assertEquals(3, leader.job.pendingTasks)
        assertFalse(leader.job.placements.isEmpty(), "nor may the job finish")
        leader.reports.applyReport(
            Report("n-2", "127.0.0.1:2", market, 1, 2, 7, null, emptyList()),
            ReportSource.ANSWERED,
        )
        assertEquals(listOf(0, 1, 2, 3), leader.job.nextTasks(9))
        assertEquals(null, leader.cluster.usage()["red"])
    }

    @Test
    fun `an orphaned task of a known or unknown job gets a stop order`() {
        val leader = Leader(inherited = false)
        val machine = leader.machine!!
        machine.group.ticket = 0
        for (task in listOf("job-1", "job-over")) {
            val start = Start(TaskId(task, 3), 4)
            val orphanReport = report(3, machine.sequence + 1, 7, ReportedTask(start, TaskState.RUNNING, null, false))
            leader.reports.applyReport(orphanReport, ReportSource.ANSWERED)
            val stops = leader.reports.response(machine, orphanReport).orders.filterIsInstance<Order.Stop>()
            assertEquals(listOf(Order.Stop(start, Duration.ZERO)), stops, task)
        }
    }

    @Test
    fun `a job that fails on every machine makes only two machines faulty`() {
        val cases = listOf(Samples.array.copy(tasks = 40), Samples.service.copy(id = "job-1", tasks = 40))
        for (spec in cases) {
            val leader = Leader(inherited = false)
            leader.cluster.addJob(JobRecord(spec, Samples.now, JobStatus.LIVE), 1)
            val hosts = (2..7).map { "n-$it" }
            leader.cluster.addMachines("r-2", market, Samples.now, hosts, rentedInThisTerm = true)
            hosts.forEachIndexed { i, host ->
                val machine = leader.cluster.machines.getValue(host)
                machine.session = 1
                val starts = (1..4).map { Start(TaskId("job-1", i * 4 + it), 10L + i) }
                starts.forEach { leader.cluster.place(it, machine, 1, PlacementOrigin.STARTED) }
                val failed = starts.map { ReportedTask(it, TaskState.EXITED, ExitCause.ERROR, false) }
                leader.reports.applyReport(
                    Report(host, "127.0.0.1:1", market, 1, 1, 7, null, failed),
                    ReportSource.ANSWERED,
                )
            }
            val faulty = hosts.filter {
                leader.cluster.machines.getValue(it).consecutiveFailures >=
                    MachineSnapshots.MAX_CONSECUTIVE_FAILURES
            }
            assertEquals(listOf("n-2", "n-3"), faulty, "${spec.shape}")
        }
    }

    @Test
    fun `a task index beyond the size of its job is never counted as done`() {
        val leader = Leader(inherited = false)
        fun excess(state: TaskState, cause: ExitCause? = null) =
            ReportedTask(Start(TaskId("job-1", 900), 9), state, cause, false)
        leader.reports.applyReport(report(3, 5, 7, excess(TaskState.RUNNING)), ReportSource.ANSWERED)
        leader.reports.applyReport(report(3, 6, 7, excess(TaskState.EXITED, ExitCause.DONE)), ReportSource.ANSWERED)
        assertEquals(0, leader.job.doneCount)
    }

    @Test
    fun `a delayed report does not bring back a returned machine`() {
        val leader = Leader(inherited = false)
        leader.cluster.removeReturned(leader.machine!!)
        assertFalse(leader.tracked)
        assertFalse(leader.reports.applyReport(report(3, 50, 7, task(5, TaskState.RUNNING)), ReportSource.ANSWERED))
        assertEquals(null, leader.machine)
        assertFalse(leader.tracked)
    }
}
