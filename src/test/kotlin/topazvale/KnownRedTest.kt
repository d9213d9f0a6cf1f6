package topazvale

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class KnownRedTest {
    @Test
    fun `at most three tests are known to be red, and each is there`() {
        assertTrue(KnownRed.listed.size <= 3, "${KnownRed.listed}")
        for (red in KnownRed.listed) {
            val owner = Class.forName(red.test.substringBeforeLast(".").let(::className))
            val name = red.test.removePrefix(owner.name + ".")
            assertTrue(owner.declaredMethods.any { it.name == name }, red.test)
        }
    }

    /** The name of a test may hold dots: the class ends with the first part that begins with a capital. */
    private fun className(text: String): String {
        val parts = text.split('.')
        return parts.take(parts.indexOfFirst { it.first().isUpperCase() } + 1).joinToString(".")
    }

    @Test
    fun `a line names test, cause and issue`() {
        assertEquals(KnownRed("a.B.c d", "why", "issue 1"), KnownRed.parse("a.B.c d | why | issue 1"))
        for (line in listOf("a.B.c d", "a.B.c d | why", "a.B.c d | | issue 1")) {
            assertThrows(IllegalArgumentException::class.java) { KnownRed.parse(line) }
        }
    }
}
