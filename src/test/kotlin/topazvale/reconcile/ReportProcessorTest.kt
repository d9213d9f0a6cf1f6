package topazvale.reconcile

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.fake.FakeStateService
import topazvale.fake.FakeStateStore
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
import topazvale.store.RecordWriter
import topazvale.wire.Condition
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class ReportProcessorTest {
    private val market = Market("plain", "a", spot = false)

    /** A leader with token 7 that has job-1 with start 5 of its first task on n-1, in session 3. */
    private inner class Leader(inherited: Boolean, clocks: Clocks = Clocks.SYSTEM) {
        val records = RecordWriter(FakeStateService(FakeStateStore()), Condition("leader", 7), 16)
        val starts = StartLog(records, 7, 8192)
        val cluster = ClusterState(records, starts, 8192, clocks)
        val reports = ReportProcessor(cluster, records, 7, 14.seconds, RunTimes(), clocks)
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
            if (inherited) starts.loadRecorded(placed, StartBatch("s/1-1")) else starts.record(listOf(placed))
        }

        val there: Boolean get() = 0 in job.placements
        val machine get() = cluster.machines["n-1"]
    }

    private fun report(session: Long, sequence: Long, token: Long, vararg tasks: ReportedTask) =
        Report("n-1", "127.0.0.1:1", market, session, sequence, token, null, tasks.toList())

    private fun task(attempt: Long, state: TaskState, cause: ExitCause? = null) =
        ReportedTask(Start(TaskId("job-1", 0), attempt), state, cause, false)

    /**
     * A stray that this leader itself has started: its direct command may have been lost, and come once more. A worker
     * that has forgotten the start would begin it anew.
     */
    @Test
    fun `a stray's exit is kept in its worker's memory while a command of this leader could start it again`() {
        val own = 7L shl 28
        val cases = listOf(
            Triple("started in this term", own + 9, false),
            Triple("started in a former term", own - 9, true),
        )
        for ((name, attempt, forgotten) in cases) {
            val leader = Leader(inherited = false)
            leader.reports.applyReport(report(3, 1, 7, task(attempt, TaskState.RUNNING)), ReportSource.ANSWERED)
            assertTrue(leader.machine!!.placements.getValue(Start(TaskId("job-1", 0), attempt)).isOrphaned)
            val exit = report(3, 2, 7, task(attempt, TaskState.EXITED, ExitCause.STOPPED))
            leader.reports.applyReport(exit, ReportSource.ANSWERED)
            val clear = Order.Clear(Start(TaskId("job-1", 0), attempt))
            assertEquals(forgotten, clear in leader.reports.orders(leader.machine!!, exit), name)
        }
    }

    @Test
    fun `a start counts until there is proof that it is gone`() {
        data class Case(val name: String, val inherited: Boolean, val reports: List<Report>, val there: Boolean)
        val running = task(5, TaskState.RUNNING)
        val cases = listOf(
            Case("not commanded yet", false, listOf(report(3, 1, 7)), true),
            Case("shown, then missing", false, listOf(report(3, 1, 7, running), report(3, 2, 7)), false),
            Case(
                "an older report comes after a newer one",
                false,
                listOf(report(3, 5, 7, running), report(3, 4, 7)),
                true,
            ),
            Case("a copy of the same report", false, listOf(report(3, 5, 7, running), report(3, 5, 7)), true),
            Case("a report of an earlier session", false, listOf(report(3, 5, 7, running), report(2, 99, 7)), true),
            Case("the first to a new leader, from the former term", true, listOf(report(3, 4, 6)), true),
            Case("the first to a new leader, from an earlier session", true, listOf(report(2, 4, 7)), true),
            Case("the worker has seen the new leader", true, listOf(report(3, 4, 7)), false),
            Case("a later session", true, listOf(report(4, 1, 0)), false),
            Case(
                "a later session, then an old copy that shows it",
                true,
                listOf(report(4, 1, 7), report(3, 9, 6, running)),
                false,
            ),
        )
        for (c in cases) {
            val leader = Leader(c.inherited)
            c.reports.forEach { leader.reports.applyReport(it, ReportSource.ANSWERED) }
            assertEquals(c.there, leader.there, c.name)
        }
    }

    @Test
    fun `late copies renew no lease, finish nothing twice and clear nothing that is there`() {
        val leader = Leader(inherited = false)
        leader.reports.applyReport(report(3, 5, 7, task(5, TaskState.RUNNING)), ReportSource.ANSWERED)
        val heard = leader.machine!!.lastAnsweredReportAt
        val exited = report(3, 4, 7, task(5, TaskState.EXITED, ExitCause.ERROR))
        assertFalse(leader.reports.applyReport(exited, ReportSource.ANSWERED))
        assertEquals(heard, leader.machine!!.lastAnsweredReportAt, "a copy says nothing of the lease")
        assertEquals(0, leader.machine!!.consecutiveFailures)
        val done = report(3, 6, 7, task(5, TaskState.EXITED, ExitCause.DONE))
        leader.reports.applyReport(done, ReportSource.ANSWERED)
        leader.reports.applyReport(done, ReportSource.ANSWERED)
        assertEquals(1, leader.job.doneCount)
        assertEquals(listOf(Order.Clear(leader.start)), leader.reports.orders(leader.machine!!, done))
        val shown = report(3, 7, 7, task(6, TaskState.RUNNING))
        leader.reports.applyReport(shown, ReportSource.ANSWERED)
        assertTrue(leader.reports.orders(leader.machine!!, shown).none { it is Order.Clear })
    }

    @Test
    fun `a start given in an answer that is still on its way is not gone because a straight stop finds nothing`() {
        val leader = Leader(inherited = false)
        val machine = leader.machine!!
        machine.placements.getValue(leader.start).ticket = 0
        machine.group.ticket = 0
        val beat = report(3, 5, 7)
        leader.reports.applyReport(beat, ReportSource.ANSWERED)
        assertEquals(listOf(Order.Run(leader.start)), leader.reports.orders(machine, beat))
        machine.placements.getValue(leader.start).stopGracePeriod = Duration.ZERO
        // The stop was sent straight and has overtaken the answer.
        leader.reports.applyReport(report(3, 6, 7), ReportSource.DIRECT)
        assertTrue(leader.there, "the answer may still start it")
        leader.reports.applyReport(report(3, 7, 7), ReportSource.ANSWERED)
        assertFalse(leader.there, "the next report was sent after the answer had come or was given up")
    }

    @Test
    fun `a session first seen in the answer to a straight order has a lease of its own`() {
        val time = TestTimeSource()
        val leader = Leader(inherited = false, Clocks(time, Clock.System))
        leader.reports.applyReport(report(3, 5, 7), ReportSource.ANSWERED)
        val machine = leader.machine!!
        time += 10.seconds
        leader.reports.applyReport(report(3, 6, 7), ReportSource.DIRECT)
        assertEquals(
            10.seconds,
            machine.lastAnsweredReportAt?.elapsedNow(),
            "an answer to a straight order renews nothing",
        )
        leader.reports.applyReport(report(4, 1, 7), ReportSource.DIRECT)
        assertEquals(0.seconds, machine.lastAnsweredReportAt?.elapsedNow(), "the new session may have begun just now")
    }

    /**
     * The incident's second record: the answer to a direct command overtakes a report, and the report is answered all
     * the same. That answer renews the worker's lease, so that the leader's idea of it has to move as well.
     */
    @Test
    fun `a report that a direct answer has overtaken renews the lease by which its machine is given up`() {
        data class Case(val name: String, val sequence: Long, val age: Duration)
        val cases = listOf(
            Case("overtaken by one direct answer", 6, 0.seconds),
            Case("a late copy of a report that was answered before: its worker reads no further answer", 5, 10.seconds),
            Case("an older report still, given up by its worker before it sent the next", 4, 10.seconds),
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

    /** The incident's first record: one list had the task, and the other had not. */
    @Test
    fun `a stray is stopped, and counts for its task and its team until it is gone`() {
        val leader = Leader(inherited = false)
        leader.cluster.addMachines("r-2", market, Samples.now, listOf("n-2"), rentedInThisTerm = true)
        val stray = ReportedTask(Start(TaskId("job-1", 0), 4), TaskState.RUNNING, null, false)
        val found = Report("n-2", "127.0.0.1:2", market, 1, 1, 7, null, listOf(stray))
        leader.reports.applyReport(found, ReportSource.ANSWERED)
        val orders = leader.reports.orders(leader.cluster.machines.getValue("n-2"), found)
        assertEquals(listOf<Order>(Order.Stop(stray.start, Duration.ZERO)), orders, "it must not stay")
        assertEquals(Samples.array.need * 2, leader.cluster.usage()["red"], "both take of the team's limit")
        val exited = task(5, TaskState.EXITED, ExitCause.STOPPED)
        leader.reports.applyReport(report(3, 6, 7, exited), ReportSource.ANSWERED)
        assertEquals(Samples.array.need, leader.cluster.usage()["red"], "the stray is still there")
        assertEquals(listOf(1, 2, 3), leader.job.nextTasks(9), "its task must not start beside it")
        assertEquals(3, leader.job.pendingTasks)
        assertFalse(leader.job.placements.isEmpty(), "nor may the job end")
        leader.reports.applyReport(
            Report("n-2", "127.0.0.1:2", market, 1, 2, 7, null, emptyList()),
            ReportSource.ANSWERED,
        )
        assertEquals(listOf(0, 1, 2, 3), leader.job.nextTasks(9))
        assertEquals(null, leader.cluster.usage()["red"])
    }

    @Test
    fun `a stray is told to stop`() {
        val leader = Leader(inherited = false)
        val machine = leader.machine!!
        machine.group.ticket = 0
        for (task in listOf("job-1", "job-over")) {
            val start = Start(TaskId(task, 3), 4)
            val found = report(3, machine.sequence + 1, 7, ReportedTask(start, TaskState.RUNNING, null, false))
            leader.reports.applyReport(found, ReportSource.ANSWERED)
            val stops = leader.reports.orders(machine, found).filterIsInstance<Order.Stop>()
            assertEquals(listOf(Order.Stop(start, Duration.ZERO)), stops, task)
        }
    }

    @Test
    fun `a job that fails on machine after machine does not cost each of them`() {
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
                leader.cluster.machines.getValue(it).consecutiveFailures >= MachineSnapshots.MAX_CONSECUTIVE_FAILURES
            }
            assertEquals(listOf("n-2", "n-3"), faulty, "${spec.shape}")
        }
    }

    @Test
    fun `a task that its job does not have is never counted as done`() {
        val leader = Leader(inherited = false)
        fun other(state: TaskState, cause: ExitCause? = null) =
            ReportedTask(Start(TaskId("job-1", 900), 9), state, cause, false)
        leader.reports.applyReport(report(3, 5, 7, other(TaskState.RUNNING)), ReportSource.ANSWERED)
        leader.reports.applyReport(report(3, 6, 7, other(TaskState.EXITED, ExitCause.DONE)), ReportSource.ANSWERED)
        assertEquals(0, leader.job.doneCount)
    }

    @Test
    fun `a machine that has gone back is not brought back by its late words`() {
        val leader = Leader(inherited = false)
        leader.cluster.removeReturned(leader.machine!!)
        assertFalse(leader.there)
        assertFalse(leader.reports.applyReport(report(3, 50, 7, task(5, TaskState.RUNNING)), ReportSource.ANSWERED))
        assertEquals(null, leader.machine)
        assertFalse(leader.there)
    }
}
