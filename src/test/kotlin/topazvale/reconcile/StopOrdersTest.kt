package topazvale.reconcile

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.model.DirectCommand
import topazvale.model.JobRecord
import topazvale.model.JobSpec
import topazvale.model.JobStatus
import topazvale.model.Market
import topazvale.model.Order
import topazvale.model.Report
import topazvale.model.ReportedTask
import topazvale.model.Start
import topazvale.model.TaskId
import topazvale.model.TaskState
import topazvale.supervision.SupervisedScope
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Which stops reach a worker, directly and in responses to its reports, while the reason for the stop changes. */
class StopOrdersTest {
    private val market = Market("plain", "a", spot = false)
    private val array = Samples.array.copy(tasks = 1, saveTime = 60.seconds)
    private val gang = array.copy(id = "job-2", shape = Samples.gang.shape, tasks = 2)

    /** A leader whose worker runs the first task of a job; the worker answers no direct command. */
    private inner class Leader(private val spec: JobSpec, scope: SupervisedScope) {
        private val term = TermFixture(token = TOKEN)
        private val cluster = term.cluster
        private val job = cluster.addJob(JobRecord(spec, Samples.now, JobStatus.LIVE), 1)
        val start = start(0)
        private var sequence = 0L

        /** The orders of each direct command. */
        private val directOrders = ArrayList<List<Order>>()
        private val worker = object : WorkerClient {
            override suspend fun command(endpoint: String, command: DirectCommand): CommandResponse? {
                directOrders += command.orders
                return null
            }
        }
        private val context = term.context(worker, scope)
        private val directCommands = DirectCommands(context, term.records, cluster, term.reports) { true }
        private val stopper = TaskStopper(cluster, directCommands, DecisionLog(TOKEN))

        init {
            cluster.addMachines("r", market, Samples.now, listOf("n-1"), rentedInThisTerm = true)
            val machine = cluster.machines.getValue("n-1")
            machine.session = 1
            val placed = (0 until spec.tasks).map { cluster.place(start(it), machine, 1, PlacementOrigin.STARTED) }
            term.starts.record(placed)
            runBlocking { term.records.flush() }
            respond(TaskState.RUNNING)
        }

        private fun start(index: Int) = Start(TaskId(spec.id, index), 5)

        /** The orders for [of] in the response to a report that lists it and the job's tasks in this state. */
        fun respond(state: TaskState, of: Start = start): List<Order> {
            val starts = (0 until spec.tasks).mapTo(LinkedHashSet(), ::start) + of
            val tasks = starts.map { ReportedTask(it, state, null, saved = false) }
            val report = Report("n-1", "127.0.0.1:1", market, 1, ++sequence, TOKEN, null, tasks)
            term.reports.applyReport(report, ReportSource.ANSWERED)
            return term.reports.response(cluster.machines.getValue("n-1"), report).orders.filter { it.isFor(of) }
        }

        fun preempt() = stopper.preempt(start)

        fun cancel() = stopper.requestStops(setOf(spec.id))

        fun loseOtherTask() {
            term.reports.removeLost(job.placements.of(1).single(), AbsenceProof.MachineReturned)
            stopper.requestStops(emptySet())
        }

        /** Sends what is due as direct commands; returns the orders for the first task. */
        suspend fun sendDirectly(): List<Order> {
            directOrders.clear()
            directCommands.sendQueued()
            yield()
            yield()
            return directOrders.flatten().filter { it.isFor(start) }
        }
    }

    private fun Order.isFor(start: Start) = this == Order.Run(start) || (this is Order.Stop && this.start == start)

    /** Guards against a cancelled task that goes on saving because it has received another stop before. */
    @Test
    fun `a stop that changes after it was sent is sent again, directly and in responses to reports`() {
        data class Case(val name: String, val spec: JobSpec, val grace: Duration?, val change: Leader.() -> Unit)

        val cases = listOf(
            Case("its job is cancelled", array, Duration.ZERO) { cancel() },
            Case("it is preempted once more", array, null) { preempt() },
            Case("a gang's task is gone, and the others may finish saving", gang, null) { loseOtherTask() },
            Case("a gang's task is gone, then the gang is cancelled", gang, Duration.ZERO) {
                loseOtherTask()
                cancel()
            },
        )
        for (case in cases) {
            runBlocking {
                val scope = SupervisedScope(coroutineContext) { throw it }
                val leader = Leader(case.spec, scope)
                val firstStop = Order.Stop(leader.start, case.spec.saveTime + 1.seconds)
                leader.preempt()
                assertEquals(listOf<Order>(firstStop), leader.sendDirectly(), case.name)
                assertEquals(emptyList<Order>(), leader.respond(TaskState.SAVING), case.name)
                case.change(leader)
                val expected = listOfNotNull(case.grace?.let { Order.Stop(leader.start, it) })
                assertEquals(expected, leader.sendDirectly(), "${case.name}: direct command")
                assertEquals(emptyList<Order>(), leader.sendDirectly(), "${case.name}: direct command, repeated")
                // The direct command is lost, so every response has to repeat the stop.
                repeat(2) { assertEquals(expected, leader.respond(TaskState.SAVING), "${case.name}: response") }
                scope.cancel()
            }
        }
    }

    /** Guards against a task that nobody knows of, perhaps of a cancelled job, and that goes on saving. */
    @Test
    fun `a saving task that is found without a record gets a stop in each response`() = runBlocking {
        val scope = SupervisedScope(coroutineContext) { throw it }
        val leader = Leader(array, scope)
        val stray = Start(leader.start.task, attempt = 4)
        repeat(2) { assertEquals(listOf(Order.Stop(stray, Duration.ZERO)), leader.respond(TaskState.SAVING, stray)) }
        scope.cancel()
    }

    private companion object {
        const val TOKEN = 7L
    }
}
