package topazvale.wire

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Checked access to the fields of a body. A null field counts as missing, as the protocol has it. */
@Suppress("TooManyFunctions") // One accessor for each kind of field.
internal class Fields(private val map: Map<String, Any?>) {
    /** A text. */
    fun text(name: String): String = map[name] as? String ?: bad(name)

    /** A text, or null where it is missing. */
    fun textOrNull(name: String): String? = optional(name) { it as? String }

    /** A boolean. */
    fun flag(name: String): Boolean = map[name] as? Boolean ?: bad(name)

    /** A boolean, or [default] where it is missing. */
    fun flagOr(name: String, default: Boolean): Boolean = optional(name) { it as? Boolean } ?: default

    /** An integer. */
    fun whole(name: String): Long = asWhole(map[name]) ?: bad(name)

    /** A whole number that is not negative. */
    fun count(name: String): Long = whole(name).also { if (it < 0) bad(name) }

    /** An integer that is not negative, or [default] where it is missing. */
    fun countOr(name: String, default: Long): Long = if (map[name] == null) default else count(name)

    /** An integer, or null where it is missing. */
    fun wholeOrNull(name: String): Long? = optional(name, ::asWhole)

    /** A decimal that is finite and not negative. */
    fun amount(name: String): Double = asAmount(map[name]) ?: bad(name)

    /** A duration in seconds. */
    fun span(name: String): Duration = amount(name).seconds

    /** A duration in seconds, or null where it is missing. */
    fun spanOrNull(name: String): Duration? = optional(name, ::asAmount)?.seconds

    /** A list. */
    fun list(name: String): List<Any?> = map[name] as? List<*> ?: bad(name)

    /** A list of texts, or null where it is missing. */
    fun textsOrNull(name: String): List<String>? =
        optional(name) { value -> (value as? List<*>)?.map { it as? String ?: bad(name) } }

    /** A map. */
    @Suppress("UNCHECKED_CAST")
    fun map(name: String): Map<String, Any?> = map[name] as? Map<String, Any?> ?: bad(name)

    /** A list of maps. */
    fun maps(name: String): List<Fields> = list(name).map { of(it) ?: bad(name) }

    private fun <T : Any> optional(name: String, read: (Any?) -> T?): T? = map[name]?.let { read(it) ?: bad(name) }

    private fun bad(name: String): Nothing =
        throw MalformedException(if (map[name] == null) "missing field: $name" else "invalid field: $name")

    companion object {
        fun of(value: Any?): Fields? {
            @Suppress("UNCHECKED_CAST")
            return (value as? Map<String, Any?>)?.let(::Fields)
        }

        private fun asWhole(value: Any?): Long? = when (value) {
            is Long -> value
            is Double -> value.toLong().takeIf { it.toDouble() == value }
            else -> null
        }

        /** Amounts are finite and not negative; whole numbers will do. */
        private fun asAmount(value: Any?): Double? =
            (value as? Number)?.toDouble()?.takeIf { it.isFinite() && it >= 0.0 }
    }
}
