package topazvale.wire

import topazvale.model.boundedDuration
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Validated access to the fields of a body. An accessor throws [MalformedException] for an invalid field, and for a
 * missing one unless it has a default or returns null for it. A null field counts as missing, as the protocol requires.
 */
@Suppress("TooManyFunctions") // One accessor for each type of field.
internal class Fields(private val map: Map<String, Any?>) {
    fun string(name: String): String = map[name] as? String ?: reject(name)

    fun stringOrNull(name: String): String? = optional(name) { it as? String }

    fun boolean(name: String): Boolean = map[name] as? Boolean ?: reject(name)

    fun booleanOr(name: String, default: Boolean): Boolean = optional(name) { it as? Boolean } ?: default

    fun integer(name: String): Long = toInteger(map[name]) ?: reject(name)

    fun nonNegativeInteger(name: String): Long = integer(name).also { if (it < 0) reject(name) }

    fun nonNegativeIntegerOr(name: String, default: Long): Long =
        if (map[name] == null) default else nonNegativeInteger(name)

    fun integerOrNull(name: String): Long? = optional(name, ::toInteger)

    /** A finite, non-negative number; integers are accepted. */
    fun nonNegativeNumber(name: String): Double = toNonNegativeNumber(map[name]) ?: reject(name)

    /** A duration that the body gives in seconds, bounded by [boundedDuration]. */
    fun duration(name: String): Duration = toDuration(nonNegativeNumber(name))

    /** A [duration], or null if the field is missing. */
    fun durationOrNull(name: String): Duration? = optional(name, ::toNonNegativeNumber)?.let(::toDuration)

    fun list(name: String): List<Any?> = map[name] as? List<*> ?: reject(name)

    fun stringsOrNull(name: String): List<String>? =
        optional(name) { value -> (value as? List<*>)?.map { it as? String ?: reject(name) } }

    @Suppress("UNCHECKED_CAST")
    fun map(name: String): Map<String, Any?> = map[name] as? Map<String, Any?> ?: reject(name)

    fun maps(name: String): List<Fields> = list(name).map { of(it) ?: reject(name) }

    private fun <T : Any> optional(name: String, convert: (Any?) -> T?): T? =
        map[name]?.let { convert(it) ?: reject(name) }

    private fun reject(name: String): Nothing =
        throw MalformedException(if (map[name] == null) "missing field: $name" else "invalid field: $name")

    companion object {
        /** The integers that a conversion from a number of another type cannot have saturated to. */
        private val EXACT_INTEGERS = Long.MIN_VALUE + 1..<Long.MAX_VALUE

        fun of(value: Any?): Fields? {
            @Suppress("UNCHECKED_CAST")
            return (value as? Map<String, Any?>)?.let(::Fields)
        }

        private fun toInteger(value: Any?): Long? = when (value) {
            is Long -> value
            is Double -> value.toLong().takeIf { it.toDouble() == value && it in EXACT_INTEGERS }
            else -> null
        }

        private fun toNonNegativeNumber(value: Any?): Double? =
            (value as? Number)?.toDouble()?.takeIf { it.isFinite() && it >= 0.0 }

        private fun toDuration(seconds: Double): Duration = boundedDuration(seconds, DurationUnit.SECONDS)
    }
}
