package topazvale

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.fake.FakeCluster
import kotlin.time.Duration.Companion.seconds

/**
 * Something fails within a loop of a controller. An `Error` went past the handler, which caught exceptions alone: the loop
 * was gone, the term went on, and nothing was started any more. Seen as a leader ran out of heap at about 4,000 machines:
 * its planning loop died at 277 s, and its lease was renewed for ever after.
 */
class LoopFailuresTest : FailureScenario() {
    private enum class Role { LEADER, FOLLOWER, SUCCESSOR }

    /** The call that fails once, and in which loop that is. */
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

    /** What has become of a call that fails once at each controller that it is planted in. */
    private class Planted {
        var failed = 0
        var callsSince = 0
    }

    /** A job runs, another one comes, and the call fails at the controllers of the case. */
    private suspend fun FakeCluster.plant(case: Case, failure: () -> Throwable): Planted {
        submit(spec)
        awaitRunning(spec.id, 2)
        val planted = Planted()
        val hit = if (case.role == Role.LEADER) listOf(leader!!) else followers
        for (member in hit) {
            var own = 0
            member.failure = { call ->
                if (call == case.call && own++ > 0) planted.callsSince++
                if (call == case.call && own == 1) failure().also { planted.failed++ } else null
            }
        }
        submit(spec.copy(id = "job-2"), followers.first())
        if (case.role != Role.LEADER) handOver()
        awaitCondition(60.seconds, "the call fails") { planted.failed > 0 }
        return planted
    }

    private suspend fun FakeCluster.untilAllDone() {
        submit(spec.copy(id = "job-3"))
        for (id in listOf(spec.id, "job-2", "job-3")) awaitDone(id, 120.seconds)
    }

    private fun play(case: Case, failure: () -> Throwable) = withCluster {
        val planted = plant(case, failure)
        delay(5.seconds)
        untilAllDone()
        // A loop of a term goes on in another term; the others are begun again where they failed.
        if (case.loop in OUTSIDE_TERMS) awaitCondition(60.seconds, "the loop goes on") { planted.callsSince > 0 }
    }

    /** Memory that has run out may have broken any loop, not only the one that is told of it. */
    private fun playFatal(case: Case) = withCluster {
        plant(case) { OutOfMemoryError("planted") }
        awaitCondition(60.seconds, "the process ends") { fatalFailures.isNotEmpty() }
        assertTrue(fatalFailures.all { it is OutOfMemoryError }, "$fatalFailures")
        awaitCondition(30.seconds, "all processes are back") { nodes.size == 3 }
        untilAllDone()
    }

    private fun playAll(failure: () -> Throwable) = all { play(it, failure) }

    private fun all(play: (Case) -> Unit) {
        val failures = cases.mapNotNull { case ->
            runCatching { play(case) }.exceptionOrNull()?.let { "${case.loop} (${case.role}): ${it.message}" }
        }
        assertEquals(emptyList<String>(), failures)
    }

    @Test
    fun `an error in a loop ends the term or begins the loop again, and all jobs go on`() =
        playAll { AssertionError("planted") }

    @Test
    fun `so does an exception`() = playAll { IllegalStateException("planted") }

    @Test
    fun `a fatal error ends the process, and all jobs go on`() = all { playFatal(it) }

    private companion object {
        val OUTSIDE_TERMS = setOf("campaign", "following", "peers")
    }
}
