package topazvale.reconcile

import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import topazvale.Samples
import topazvale.config.Settings
import topazvale.config.SettingsTest
import topazvale.model.DirectCommand
import topazvale.model.JobRecord
import topazvale.model.JobStatus
import topazvale.model.Market
import topazvale.model.Report
import topazvale.model.Start
import topazvale.model.TaskId
import topazvale.supervision.SupervisedScope
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class DirectCommandsTest {
    private val market = Market("plain", "a", spot = false)

    /**
     * Guards against workers that stay with a former leader: cut off from everything but them, it answers their reports
     * until each has seen a higher token.
     */
    @Test
    fun `a worker of a former leader gets the new token repeatedly until it reports it`() {
        val commanded = ArrayList<String>()
        val client = object : WorkerClient {
            override suspend fun command(endpoint: String, command: DirectCommand): CommandResponse? {
                commanded += endpoint
                // The first command to each worker is lost.
                if (commanded.count { it == endpoint } < 2) return null
                return CommandResponse(
                    true,
                    Report("n-old", endpoint, market, command.session, 1, command.token, null, emptyList()),
                )
            }
        }
        val fixture = TermFixture()
        val cluster = fixture.cluster
        val settings = Settings.parse(SettingsTest.TEXT).let {
            it.copy(workers = it.workers.copy(reportInterval = 50.milliseconds))
        }
        cluster.addMachines("r-1", market, Samples.now, listOf("n-old"), rentedInThisTerm = false)
        cluster.addMachines("r-2", market, Samples.now, listOf("n-ours"), rentedInThisTerm = true)
        cluster.machines.values.forEach { it.endpoint = it.host }
        runBlocking {
            val supervised = SupervisedScope(coroutineContext) { throw it }
            val context = fixture.context(client, supervised, settings)
            val directCommands = DirectCommands(context, fixture.records, cluster, fixture.reports) { true }
            val propagation = launch { directCommands.propagateToken(1.minutes) }
            withTimeout(30.seconds) { while (cluster.machines.getValue("n-old").token < 7) delay(20.milliseconds) }
            propagation.cancel()
            supervised.cancel()
        }
        assertEquals(listOf("n-old", "n-old"), commanded, "a machine rented by the new leader has had no other leader")
    }

    /** Guards against starts and stops that wait for a report because a raised token overtook their command. */
    @Test
    fun `a command that is refused for its lower token goes out again under the new one`() {
        val tokens = ArrayList<Long>()
        val fixture = TermFixture()
        val cluster = fixture.cluster
        cluster.addMachines("r-1", market, Samples.now, listOf("n-1"), rentedInThisTerm = true)
        val machine = cluster.machines.getValue("n-1")
        val client = object : WorkerClient {
            override suspend fun command(endpoint: String, command: DirectCommand): CommandResponse? {
                tokens += command.token
                if (tokens.size == 1) fixture.tokens.raise(machine.commandToken)
                val isAccepted = command.token >= machine.commandToken.current
                val report =
                    Report(
                        "n-1",
                        endpoint,
                        market,
                        command.session,
                        tokens.size + 1L,
                        machine.commandToken.current,
                        null,
                        emptyList(),
                    )
                return CommandResponse(isAccepted, report)
            }
        }
        runBlocking {
            val supervised = SupervisedScope(coroutineContext) { throw it }
            val directCommands =
                DirectCommands(fixture.context(client, supervised), fixture.records, cluster, fixture.reports) { true }
            cluster.addJob(JobRecord(Samples.array, Samples.now, JobStatus.LIVE), 1)
            val report = Report("n-1", "127.0.0.1:1", market, 1, 1, fixture.tokens.term, null, emptyList())
            fixture.reports.applyReport(report, ReportSource.ANSWERED)
            val start = Start(TaskId(Samples.array.id, 0), Attempts.of(fixture.tokens.term, 1))
            fixture.starts.record(listOf(cluster.place(start, machine, 1, PlacementOrigin.STARTED)))
            fixture.commitBeyondToken()
            directCommands.enqueue(machine)
            withTimeout(10.seconds) {
                while (tokens.size < 2) {
                    directCommands.sendQueued()
                    delay(10.milliseconds)
                }
            }
            supervised.cancel()
        }
        assertEquals(listOf(fixture.tokens.term, fixture.records.confirmedRevision), tokens)
    }
}
