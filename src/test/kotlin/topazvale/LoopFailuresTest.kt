package topazvale

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.fake.FakeCluster
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a controller that goes on without one of its loops. The failure handler of a loop caught only
 * exceptions, so an `Error` ended the loop while the term went on, and no task was started any more. A leader that ran
 * out of heap at about 4,000 machines showed it: its planning loop died at 277 s, and it renewed its lease forever
 * after.
 */
class LoopFailuresTest : FailureScenario() {
    private enum class Role { LEADER, FOLLOWER, SUCCESSOR }

    /** The call that fails once, the loop that makes it, and the controllers at which it fails. */
    private class Case(val loop: String, val role: Role, val call: String)

    private val cases = listOf(
        Case("watch of the jobs", Role.LEADER, "watch j/"),
        Case("writes", Role.LEADER, "commit"),
        Case("plans", Role.LEADER, "now"),
        Case("provisioning", Role.LEADER, "machines"),
        Case("prices", Role.LEADER, "types"),
        Case("direct commands", Role.LEADER, "command"),
        Case("renewals", Role.LEADER, "renew"),
        Case("rebuild", Role.SUCCESSOR, "list s/"),
        Case("campaign", Role.SUCCESSOR, "grant"),
        Case("following", Role.FOLLOWER, "watch leader"),
        Case("following", Role.FOLLOWER, "get leader"),
        Case("peers", Role.LEADER, "peer"),
        Case("peers", Role.FOLLOWER, "peer"),
    )

    /** Counts the injected failures of a call, and the later calls of the same name. */
    private class InjectedFailures {
        var failed = 0
        var callsSince = 0
    }

    /** Runs a job, makes the call fail once at each controller of the case, and submits another job. */
    private suspend fun FakeCluster.injectFailure(case: Case, failure: () -> Throwable): InjectedFailures {
        submit(spec)
        awaitRunning(spec.id, 2)
        val injected = InjectedFailures()
        val targets = if (case.role == Role.LEADER) listOf(leader!!) else followers
        for (member in targets) {
            var calls = 0
            member.failure = { call ->
                if (call == case.call && calls++ > 0) injected.callsSince++
                if (call == case.call && calls == 1) failure().also { injected.failed++ } else null
            }
        }
        submit(spec.copy(id = "job-2"), followers.first())
        if (case.role != Role.LEADER) failOver()
        awaitCondition(60.seconds, "the call fails") { injected.failed > 0 }
        return injected
    }

    private suspend fun FakeCluster.awaitAllDone() {
        submit(spec.copy(id = "job-3"))
        for (id in listOf(spec.id, "job-2", "job-3")) awaitDone(id, 120.seconds)
    }

    private fun checkRecovery(case: Case, failure: () -> Throwable) = withCluster {
        val injected = injectFailure(case, failure)
        delay(5.seconds)
        awaitAllDone()
        // A loop of a term runs again in another term; the other loops restart in the controller where they failed.
        if (case.loop in OUTSIDE_TERMS) awaitCondition(60.seconds, "the loop runs again") { injected.callsSince > 0 }
    }

    /** Exhausted memory may have broken any loop, not only the one that gets the error, so the process has to end. */
    private fun checkFatalError(case: Case) = withCluster {
        injectFailure(case) { OutOfMemoryError("injected failure") }
        awaitCondition(60.seconds, "the process ends") { fatalFailures.isNotEmpty() }
        assertTrue(fatalFailures.all { it is OutOfMemoryError }, "$fatalFailures")
        awaitCondition(30.seconds, "all processes have restarted") { nodes.size == 3 }
        awaitAllDone()
    }

    private fun failInAllCases(failure: () -> Throwable) = checkAllCases { checkRecovery(it, failure) }

    private fun checkAllCases(check: (Case) -> Unit) {
        val failures = cases.mapNotNull { case ->
            runCatching { check(case) }.exceptionOrNull()?.let { "${case.loop} (${case.role}): ${it.message}" }
        }
        assertEquals(emptyList<String>(), failures)
    }

    @Test
    fun `an error in a loop ends the term or restarts the loop, and all jobs finish`() =
        failInAllCases { AssertionError("injected failure") }

    @Test
    fun `an exception in a loop ends the term or restarts the loop, and all jobs finish`() = failInAllCases {
        IllegalStateException("injected failure")
    }

    @Test
    fun `a fatal error ends the process, and all jobs finish`() = checkAllCases { checkFatalError(it) }

    private companion object {
        val OUTSIDE_TERMS = setOf("campaign", "following", "peers")
    }
}
