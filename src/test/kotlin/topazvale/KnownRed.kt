package topazvale

import org.junit.jupiter.api.extension.ExtensionContext
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler
import org.opentest4j.TestAbortedException
import java.nio.file.Files
import java.nio.file.Path

/** A test that is known to fail for a real fault: `Class.test name | cause | issue`. */
data class KnownRed(val test: String, val cause: String, val issue: String) {
    companion object {
        private val FILE: Path = Path.of("KNOWN-RED.txt")
        private const val PARTS = 3

        /** What is listed at the root of the project. */
        val listed: List<KnownRed> by lazy {
            if (Files.exists(FILE)) Files.readAllLines(FILE).filter { it.isNotBlank() }.map(::parse) else emptyList()
        }

        /** One line of the list; throws for any other form. */
        fun parse(line: String): KnownRed {
            val parts = line.split('|').map { it.trim() }
            require(parts.size == PARTS && parts.none { it.isEmpty() }) { "not 'test | cause | issue': $line" }
            return KnownRed(parts[0], parts[1], parts[2])
        }
    }
}

/** Passes over the failures of just those tests that are listed as known to be red, and prints them. */
class KnownRedExtension : TestExecutionExceptionHandler {
    override fun handleTestExecutionException(context: ExtensionContext, throwable: Throwable) {
        val name = "${context.requiredTestClass.name}.${context.requiredTestMethod.name}"
        val known = KnownRed.listed.firstOrNull { it.test == name } ?: throw throwable
        println("KNOWN RED: ${known.test}: ${known.cause} (${known.issue}): ${throwable.message}")
        throw TestAbortedException("known to be red, ${known.issue}", throwable)
    }
}
