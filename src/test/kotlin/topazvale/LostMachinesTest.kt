package topazvale

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Assertions.assertAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.function.Executable
import topazvale.fake.FakeCluster
import topazvale.model.Resources
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against work that never runs again after all machines are lost at about the same time. */
class LostMachinesTest : FailureScenario() {
    private class Case(val name: String, val machines: Int, val lose: suspend FakeCluster.() -> Unit)

    private val cases = listOf(
        Case("two machines, a second apart", 2) { loseAll(1000) },
        Case("thirty machines at once", 30) { loseAll(0) },
        Case("all machines but one", 4) { workers.keys.drop(1).forEach { workers.remove(it)?.terminate() } },
        Case("all machines, and the leader with them", 3) {
            loseAll(0)
            failOver()
        },
        Case("all machines, and one of the controllers for good", 3) {
            followers.first().stop()
            loseAll(0)
        },
        Case("all machines, while leaders change in series", 3) {
            loseAll(0)
            repeat(3) { failOver(restartAfter = 500.milliseconds) }
        },
        Case("all machines, and all controllers, which restart", 3) {
            loseAll(0)
            val names = nodes.keys.toList()
            nodes.values.toList().forEach { it.stop() }
            delay(1.seconds)
            names.forEach { start(it) }
        },
    )

    private suspend fun FakeCluster.loseAll(intervalMs: Int) {
        for (host in workers.keys.toList()) {
            workers.remove(host)?.terminate()
            delay(intervalMs.milliseconds)
        }
    }

    @Test
    fun `work runs again after all machines are lost`() = assertAll(
        cases.map { case ->
            Executable {
                withCluster {
                    val job = longJob.copy(tasks = case.machines, need = Resources(16.0, 0.0, 16.0))
                    submit(job)
                    awaitRunning(job.id, case.machines)
                    delay(20.seconds)
                    case.lose(this)
                    awaitCondition(MAX_RECOVERY, "${case.name}: the work runs again") {
                        runningCount(job.id) == case.machines
                    }
                }
            }
        },
    )

    private companion object {
        val MAX_RECOVERY = 90.seconds
    }
}
