package topazvale

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import topazvale.soak.SeedVerdict
import topazvale.soak.SoakCommand
import topazvale.soak.SoakVerdict

class KnownRedTest {
    @Test
    fun `at most three cases are known to be red, and each is there`() {
        assertTrue(KnownRed.listed.size <= 3, "${KnownRed.listed}")
        for (red in KnownRed.listed.filter { it.soakSeed == null }) {
            val owner = Class.forName(className(red.test))
            val name = red.test.removePrefix(owner.name + ".")
            assertTrue(owner.declaredMethods.any { it.name == name }, red.test)
        }
        for (red in KnownRed.listed.filter { it.soakSeed != null }) SoakCommand.parse(red.command)
    }

    /** The name of a test may hold dots: the class ends with the first part that begins with a capital. */
    private fun className(text: String): String {
        val parts = text.split('.')
        return parts.take(parts.indexOfFirst { it.first().isUpperCase() } + 1).joinToString(".")
    }

    @Test
    fun `a line names test, command and seed, what was seen, and an issue by number`() {
        val line = "a.B.c d | mvn test -Dtest=B, seed 3 | job-1 comes back | issue 29"
        assertEquals(KnownRed("a.B.c d", "mvn test -Dtest=B, seed 3", "job-1 comes back", 29), KnownRed.parse(line))
        val others = listOf(
            "a.B.c d",
            "a.B.c d | why | issue 1",
            "a.B.c d | mvn test | | issue 1",
            "a.B.c d | mvn test | seen | soon",
            "a.B.c d | mvn test | seen | issue 1 | more",
        )
        for (other in others) assertThrows(IllegalArgumentException::class.java, { KnownRed.parse(other) }, other)
    }

    /** Only the listed seed, under the listed command, for the listed kinds of failure, is passed over. */
    @Test
    fun `of soak seeds just the listed case is passed over`() {
        val red = KnownRed.parse("soak seed 4 | ./soak --first 4 --seeds 1 --seconds 30 | ran_twice, left: x | issue 9")
        val listed = SoakCommand.parse("./soak --first 3 --seeds 2 --seconds 30")
        val cases = listOf(
            Triple(4L, listOf("ran_twice: job-1/0 on n-1 at 3s"), SeedVerdict.KNOWN_RED),
            Triple(4L, listOf("ran_twice: job-1/0", "left: job-2"), SeedVerdict.KNOWN_RED),
            Triple(4L, listOf("ran_twice: job-1/0", "quota: red"), SeedVerdict.FAILED),
            Triple(4L, listOf("nobody leads after 30s"), SeedVerdict.FAILED),
            Triple(4L, emptyList(), SeedVerdict.KNOWN_RED_PASSES),
            Triple(3L, listOf("ran_twice: job-1/0 on n-1 at 3s"), SeedVerdict.FAILED),
            Triple(3L, emptyList(), SeedVerdict.PASSED),
        )
        for ((seed, failures, verdict) in cases) {
            assertEquals(verdict, SoakVerdict(listOf(red), listed).of(seed, failures), "seed $seed: $failures")
        }
        val others = listOf("--seconds 40", "--seconds 30 --workers 400", "--seconds 30 --only LEADER_ENDS")
        for (options in others) {
            val other = SoakCommand.parse("./soak --first 4 --seeds 1 $options")
            val verdict = SoakVerdict(listOf(red), other).of(4, listOf("ran_twice: job-1/0"))
            assertEquals(SeedVerdict.FAILED, verdict, options)
        }
    }
}
