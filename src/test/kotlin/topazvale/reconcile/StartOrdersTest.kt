package topazvale.reconcile

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.Samples
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
import kotlin.time.Duration

/** Which starts leave in the responses to reports when something became known after they were planned. */
class StartOrdersTest {
    private val marketA = Market("plain", "a", spot = false)
    private val marketB = Market("plain", "b", spot = false)
    private val bound = Samples.array.copy(tasks = 4, oneZone = true)

    /** A leader that has planned and recorded the start of the first task on n-b, in zone b. */
    private inner class Leader(spec: JobSpec) {
        private val term = TermFixture(token = TOKEN)
        val cluster = term.cluster
        private val reports = term.reports
        val job = cluster.addJob(JobRecord(spec, Samples.now, JobStatus.LIVE), 1)
        val planned: PlacedTask
        private var sequence = 0L

        init {
            cluster.addMachines("r-a", marketA, Samples.now, listOf("n-a"), rentedInThisTerm = true)
            cluster.addMachines("r-b", marketB, Samples.now, listOf("n-b", "n-b2"), rentedInThisTerm = true)
            cluster.machines.values.forEach { it.session = 1 }
            planned = cluster.place(start(0, ATTEMPT), machine("n-b"), 1, PlacementOrigin.STARTED)
            term.starts.record(listOf(planned))
            runBlocking { term.records.flush() }
        }

        fun machine(host: String) = cluster.machines.getValue(host)

        fun start(index: Int, attempt: Long) = Start(TaskId(job.spec.id, index), attempt)

        fun orders(host: String, market: Market, vararg tasks: ReportedTask): List<Order> {
            val report = Report(host, "127.0.0.1:1", market, 1, ++sequence, TOKEN, null, tasks.toList())
            reports.applyReport(report, ReportSource.ANSWERED)
            return reports.response(machine(host), report).orders
        }

        /** A task without a record is found on n-a. */
        fun findOrphan(index: Int, state: TaskState = TaskState.RUNNING) =
            orders("n-a", marketA, ReportedTask(start(index, ORPHAN_ATTEMPT), state, null, saved = false))
    }

    @Test
    fun `a start leaves only if its job still allows it on its machine`() {
        data class Case(val name: String, val spec: JobSpec, val isSent: Boolean, val change: (Leader) -> Unit)

        val cases = listOf(
            Case("nothing has changed", bound, true) {},
            Case("another task of the job was found in the same zone as allowed", bound.copy(oneZone = false), true) {
                it.findOrphan(1)
            },
            Case("another task of the job was found in another zone", bound, false) { it.findOrphan(1) },
            Case("the same task was found on another machine", bound.copy(oneZone = false), false) {
                it.findOrphan(0)
            },
            Case("the task in the other zone has exited", bound, true) {
                it.findOrphan(1)
                it.orders("n-a", marketA)
            },
            Case("its zone has its share of the spread job", bound.copy(oneZone = false, spread = true), false) {
                val placed = listOf(1, 2).map { index -> it.start(index, ORPHAN_ATTEMPT) }
                val tasks = placed.map { start -> ReportedTask(start, TaskState.RUNNING, null, saved = false) }
                it.orders("n-b2", marketB, *tasks.toTypedArray())
            },
            Case("a user was told that the job is cancelled", bound, false) { it.job.isReportedCancelled = true },
            Case("the job is cancelled on record", bound, false) {
                it.job.update(it.job.record.copy(status = JobStatus.CANCELLED), 2)
            },
            Case("the worker reports another market than the one known", bound.copy(spotAllowed = false), false) {
                it.orders("n-b", marketB.copy(spot = true))
            },
        )
        for (case in cases) {
            val leader = Leader(case.spec)
            case.change(leader)
            val market = leader.machine("n-b").market
            val given = if (case.name.startsWith("the worker reports")) market.copy(spot = true) else market
            val runs = leader.orders("n-b", given).filterIsInstance<Order.Run>()
            assertEquals(case.isSent, Order.Run(leader.planned.start) in runs, case.name)
        }
    }

    @Test
    fun `a stop for a start in doubt does not start the task beside one in another zone`() {
        val leader = Leader(bound)
        leader.planned.recordDirectStart(TOKEN)
        leader.findOrphan(1)
        leader.planned.stopRequest = StopRequest(StopReason.JOB_OVER, Duration.ZERO)
        val stop = Order.Stop(leader.planned.start, Duration.ZERO)
        assertEquals(listOf<Order>(stop), leader.orders("n-b", marketB))
        leader.orders("n-a", marketA)
        assertEquals(listOf(Order.Run(leader.planned.start), stop), leader.orders("n-b", marketB))
    }

    private companion object {
        const val TOKEN = 7L
        const val ATTEMPT = (TOKEN shl 28) + 5
        const val ORPHAN_ATTEMPT = 4L
    }
}
