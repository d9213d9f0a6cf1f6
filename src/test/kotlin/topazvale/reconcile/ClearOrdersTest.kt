package topazvale.reconcile

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.model.ExitCause
import topazvale.model.JobRecord
import topazvale.model.JobStatus
import topazvale.model.Market
import topazvale.model.Order
import topazvale.model.Report
import topazvale.model.ReportResponse
import topazvale.model.ReportedTask
import topazvale.model.Start
import topazvale.model.TaskId
import topazvale.model.TaskState

/** Guards against exits that a worker is told to forget while a copy of a direct command may start the task again. */
class ClearOrdersTest {
    private val market = Market("plain", "a", spot = false)

    private inner class Leader {
        private val term = TermFixture(token = TOKEN)
        private val cluster = term.cluster
        private var sequence = 0L
        val machine: ManagedMachine

        init {
            cluster.addJob(JobRecord(Samples.array.copy(tasks = 100), Samples.now, JobStatus.LIVE), 1)
            cluster.addMachines("r", market, Samples.now, listOf("n-1"), rentedInThisTerm = true)
            machine = cluster.machines.getValue("n-1").also { it.session = SESSION }
            runBlocking { term.commitBeyondToken() }
        }

        val confirmedRevision get() = term.records.confirmedRevision

        fun commit() = runBlocking { term.commit() }

        fun place(index: Int): PlacedTask {
            val start = Start(TaskId(Samples.array.id, index), Attempts.of(TOKEN, index + 1L))
            return cluster.place(start, machine, SESSION, PlacementOrigin.STARTED)
        }

        fun sendDirectly(placed: PlacedTask) {
            placed.recordDirectStart(machine.commandToken.current)
            machine.commandToken.recordDirectStart()
            cluster.startHistory.sentDirectly(placed.start, machine.commandToken.current, SESSION)
        }

        /** Responds to a report that lists the starts as exited. */
        fun respond(exited: List<Start>, session: Long = SESSION): ReportResponse {
            val tasks = exited.map { ReportedTask(it, TaskState.EXITED, ExitCause.ERROR, saved = false) }
            val report = Report("n-1", "127.0.0.1:1", market, session, ++sequence, TOKEN, null, tasks)
            term.reports.applyReport(report, ReportSource.ANSWERED)
            return term.reports.response(machine, report)
        }
    }

    private fun ReportResponse.cleared() = orders.filterIsInstance<Order.Clear>().map { it.start }

    @Test
    fun `a start that left only in a response is cleared under the term's token`() {
        val leader = Leader()
        val start = leader.place(0).start
        val response = leader.respond(listOf(start))
        assertEquals(listOf(start), response.cleared())
        assertEquals(TOKEN, response.token)
    }

    @Test
    fun `a start that left in a direct command is cleared under a higher token than the command's`() {
        val leader = Leader()
        val first = leader.place(0).also(leader::sendDirectly).start
        val raised = leader.respond(listOf(first))
        assertEquals(listOf(first), raised.cleared())
        assertEquals(leader.confirmedRevision, raised.token)

        val second = leader.place(1).also(leader::sendDirectly).start
        val retaining = leader.respond(listOf(second))
        assertEquals(emptyList<Start>(), retaining.cleared(), "no transaction since the command")
        assertEquals(1, leader.machine.retainedExits)

        leader.commit()
        val clearing = leader.respond(listOf(second))
        assertEquals(listOf(second), clearing.cleared())
        assertTrue(clearing.token > raised.token)
        assertEquals(0, leader.machine.retainedExits)
    }

    @Test
    fun `a command in flight puts the raise of the token off until too many exits wait for it`() {
        val leader = Leader()
        val starts = (0 until 32).map { leader.place(it).also(leader::sendDirectly).start }
        leader.machine.hasCommandInFlight = true
        assertEquals(emptyList<Start>(), leader.respond(starts.take(31)).cleared())
        assertEquals(starts, leader.respond(starts).cleared())
    }

    @Test
    fun `commands of an ended session keep no exit in the reports`() {
        val leader = Leader()
        leader.place(0).also(leader::sendDirectly)
        leader.respond(emptyList(), SESSION + 1)
        val foreign = Start(TaskId(Samples.array.id, 7), Attempts.of(TOKEN - 1, 5))
        val response = leader.respond(listOf(foreign), SESSION + 1)
        assertEquals(listOf(foreign), response.cleared())
        assertEquals(TOKEN, response.token)
    }

    @Test
    fun `a direct start is no longer in doubt once its worker has shown a higher token`() {
        val placed = Leader().place(0)
        placed.recordDirectStart(token = 9)
        placed.resolveDoubt(workerToken = 9)
        assertTrue(placed.inDoubt)
        placed.resolveDoubt(workerToken = 10)
        assertTrue(!placed.inDoubt)
    }

    private companion object {
        const val TOKEN = 7L
        const val SESSION = 3L
    }
}
