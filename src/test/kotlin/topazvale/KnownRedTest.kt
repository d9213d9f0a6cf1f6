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
    fun `at most three cases are listed as known red, and each exists`() {
        assertTrue(KnownRed.listed.size <= 3, "${KnownRed.listed}")
        for (entry in KnownRed.listed.filter { it.soakSeed == null }) {
            val owner = Class.forName(className(entry.test))
            val name = entry.test.removePrefix(owner.name + ".")
            assertTrue(owner.declaredMethods.any { it.name == name }, entry.test)
        }
        for (entry in KnownRed.listed.filter { it.soakSeed != null }) SoakCommand.parse(entry.command)
    }

    /** The class of a listed test: ends at the first part with an initial capital, as test names may contain dots. */
    private fun className(text: String): String {
        val parts = text.split('.')
        return parts.take(parts.indexOfFirst { it.first().isUpperCase() } + 1).joinToString(".")
    }

    @Test
    fun `a line consists of test, command and seed, what was seen, and an issue number`() {
        val wellFormed = "a.B.c d | mvn test -Dtest=B, seed 3 | job-1 comes back | issue 29"
        assertEquals(
            KnownRed("a.B.c d", "mvn test -Dtest=B, seed 3", "job-1 comes back", 29),
            KnownRed.parse(wellFormed),
        )
        val malformedLines = listOf(
            "a.B.c d",
            "a.B.c d | why | issue 1",
            "a.B.c d | mvn test | | issue 1",
            "a.B.c d | mvn test | seen | soon",
            "a.B.c d | mvn test | seen | issue 1 | more",
        )
        for (line in malformedLines) assertThrows(IllegalArgumentException::class.java, { KnownRed.parse(line) }, line)
    }

    /** A failed seed is tolerated only if the list has the seed, its command and all kinds of its failures. */
    @Test
    fun `a soak seed is tolerated only as listed`() {
        val entry = KnownRed.parse(
            "soak seed 4 | ./soak --first 4 --seeds 1 --seconds 30 | ran_twice, left: x | issue 9",
        )
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
            assertEquals(verdict, SoakVerdict(listOf(entry), listed).of(seed, failures), "seed $seed: $failures")
        }
        val otherOptions = listOf("--seconds 40", "--seconds 30 --workers 400", "--seconds 30 --only LEADER_ENDS")
        for (options in otherOptions) {
            val otherCommand = SoakCommand.parse("./soak --first 4 --seeds 1 $options")
            val verdict = SoakVerdict(listOf(entry), otherCommand).of(4, listOf("ran_twice: job-1/0"))
            assertEquals(SeedVerdict.FAILED, verdict, options)
        }
    }
}
