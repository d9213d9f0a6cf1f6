package topazvale.store

import org.slf4j.LoggerFactory
import topazvale.wire.MalformedException

/** Functions for records of all kinds. */
object Records {
    private val log = LoggerFactory.getLogger(Records::class.java)

    /**
     * The size of a value in text form, which the limits of the state service refer to. Characters outside printable
     * ASCII are counted as escaped, because that form may escape them.
     */
    fun size(value: Any?): Int = when (value) {
        is String -> value.sumOf(::size) + QUOTES_AND_COMMA
        is Map<*, *> -> value.entries.sumOf { (key, field) -> size(key) + 1 + size(field) } + BRACKETS
        is List<*> -> value.sumOf { size(it) + 1 } + BRACKETS
        else -> value.toString().length
    }

    private fun size(char: Char): Int = when (char) {
        '"', '\\' -> SHORT_ESCAPE
        in ' '..'~' -> 1
        else -> LONG_ESCAPE
    }

    /**
     * Decodes the record under [key] with [decode]. Returns null for a record that a later version has written or that
     * is damaged, and logs its key. Such a record is no evidence that what it describes exists, nor that it does not
     * exist.
     */
    fun <T : Any> readOrNull(key: String, data: Map<String, Any?>, decode: (Map<String, Any?>) -> T): T? = try {
        decode(data)
    } catch (e: MalformedException) {
        logUnreadable(key, e)
    } catch (
        // Data of any other form fails in a cast, a conversion of a number or a look-up.
        @Suppress("TooGenericExceptionCaught") e: RuntimeException,
    ) {
        logUnreadable(key, e)
    }

    private fun logUnreadable(key: String, cause: Exception): Nothing? {
        log.error("the record {} cannot be read: {}", key, cause.toString())
        return null
    }

    private const val QUOTES_AND_COMMA = 3
    private const val BRACKETS = 2
    private const val SHORT_ESCAPE = 2
    private const val LONG_ESCAPE = 6
}
