package topazvale

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Assertions.assertAll
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.function.Executable
import topazvale.emulator.WorkerEmulator
import topazvale.fake.FakeCluster
import topazvale.model.Rank
import topazvale.model.Resources
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against tasks that a late copy of a direct command, carried out and answered before, starts once more. */
class CommandCopiesTest : FailureScenario() {
    private class Case(val name: String, val afterStart: suspend FakeCluster.() -> Unit)

    private val single = longJob.copy(tasks = 1, need = Resources(16.0, 0.0, 16.0))

    private val cases = listOf(
        Case("the task fails and is started on another machine") {
            host().exitTask("${single.id}/0", "error")
            awaitRunning(single.id, 1)
        },
        Case("the task fails on every machine that has it, until its job is cancelled") {
            repeat(3) {
                host().exitTask("${single.id}/0", "error")
                awaitRunning(single.id, 1)
            }
            assertEquals("withdrawn", cancel(single.id))
        },
        Case("the job is cancelled") { assertEquals("withdrawn", cancel(single.id)) },
        Case("the task is preempted and moves to another machine") { moveByPreemption() },
        Case("the task moves to another machine, and then its job is cancelled") {
            moveByPreemption()
            assertEquals("withdrawn", cancel(single.id))
        },
        Case("the task moves to another machine while another controller takes over") {
            moveByPreemption()
            failOver(restartAfter = 1.seconds)
        },
        Case("the job is cancelled while another controller takes over") {
            failOver(restartAfter = 1.seconds)
            assertEquals("withdrawn", cancel(single.id))
        },
        Case("the leader is restarted within a second, and the job is cancelled") {
            val former = leader!!
            former.stop()
            start(former.name)
            awaitCondition(20.seconds, "a controller leads") { leader != null }
            assertEquals("withdrawn", cancel(single.id))
        },
        Case("the task fails, and no controller leads while the copy arrives") {
            host().exitTask("${single.id}/0", "error")
            awaitRunning(single.id, 1)
            val former = nodes.values.toList().onEach { it.stop() }
            delay(5.seconds)
            former.forEach { start(it.name) }
        },
        Case("the task fails while the leader alone gets no response from the state service") {
            val cutOff = leader!!
            cutOff.state.hanging = true
            host().exitTask("${single.id}/0", "error")
            delay(7.seconds)
            cutOff.state.hanging = false
        },
        Case("the task fails, and the leader stands still for seconds") {
            host().exitTask("${single.id}/0", "error")
            leader!!.nextPause = 6.seconds
            awaitRunning(single.id, 1)
            assertEquals("withdrawn", cancel(single.id))
        },
        Case("the task fails, and its machine pauses until the copy has arrived") {
            val first = host()
            first.exitTask("${single.id}/0", "error")
            awaitRunning(single.id, 1)
            first.pause(9.seconds)
        },
    )

    private fun FakeCluster.host(): WorkerEmulator = workers.values.first { it.runningTasks.isNotEmpty() }

    /** Preempts the task on all machines, so that it runs on a new one, and frees the former ones. */
    private suspend fun FakeCluster.moveByPreemption() {
        val urgent = single.copy(id = "job-8", tasks = 2, rank = Rank.URGENT)
        zonesWithoutCapacity = setOf("a", "b")
        submit(urgent)
        awaitRunning(urgent.id, 2)
        zonesWithoutCapacity = emptySet()
        awaitRunning(single.id, 1)
        assertEquals("withdrawn", cancel(urgent.id))
    }

    private suspend fun FakeCluster.play(case: Case, copyDelay: Duration) {
        workers.values.forEach { it.faults.commandCopyDelay = { copyDelay } }
        submit(single)
        awaitRunning(single.id, 1)
        case.afterStart(this)
        delay(copyDelay + settings.workers.cancelLimit)
        assertEquals(emptyList<String>(), violations, "${case.name}, copies $copyDelay late")
    }

    @Test
    fun `a copy of a direct start changes nothing, whatever became of its task`() {
        val delays = listOf(4.seconds, 12.seconds, 50.seconds)
        assertAll(
            cases.flatMap { case -> delays.map { case to it } }.map { (case, copyDelay) ->
                Executable { withCluster(taskTime = 300.seconds) { warmUp().also { play(case, copyDelay) } } }
            },
        )
    }

    /** Lets two machines come up, so that the first start leaves in a direct command. */
    private suspend fun FakeCluster.warmUp() {
        val warming = single.copy(id = "job-3", tasks = 2)
        submit(warming)
        awaitRunning(warming.id, 2)
        assertEquals("withdrawn", cancel(warming.id))
        awaitCondition(20.seconds, "the machines are free") { runningCount(warming.id) == 0 }
        delay(1.seconds)
    }
}
