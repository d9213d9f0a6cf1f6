package topazvale.config

import com.electronwill.nightconfig.core.UnmodifiableConfig
import com.electronwill.nightconfig.core.io.ParsingException
import com.electronwill.nightconfig.toml.TomlParser
import topazvale.model.boundedDuration
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** A TOML table whose error messages name the full path of the field. */
internal class Table(private val config: UnmodifiableConfig, private val path: String) {
    /** A non-empty string. */
    fun text(name: String): String = (value(name) as? String)?.takeIf { it.isNotEmpty() } ?: reject(name, "text")

    /** A finite, non-negative number. */
    fun nonNegative(name: String): Double = (value(name) as? Number)?.toDouble()?.takeIf { it.isFinite() && it >= 0.0 }
        ?: reject(name, "a number that is not negative")

    /** A number above zero. */
    fun positive(name: String): Double = nonNegative(name).takeIf { it > 0.0 } ?: reject(name, "a number above 0")

    /** A duration above zero that the field gives in seconds. */
    fun positiveSeconds(name: String): Duration = boundedDuration(positive(name), DurationUnit.SECONDS)

    /** A duration that the field gives in seconds. */
    fun seconds(name: String): Duration = boundedDuration(nonNegative(name), DurationUnit.SECONDS)

    /** A duration that the field gives in milliseconds. */
    fun milliseconds(name: String): Duration = boundedDuration(nonNegative(name), DurationUnit.MILLISECONDS)

    /** A finite, non-negative number, or [default] if the field is missing. */
    fun nonNegativeOr(name: String, default: Double): Double = if (has(name)) nonNegative(name) else default

    /** A required table. */
    fun subTable(name: String): Table =
        Table(value(name) as? UnmodifiableConfig ?: reject(name, "a table"), "$path$name.")

    /** A list of tables; empty if the field is missing. */
    fun tables(name: String): List<Table> {
        if (!has(name)) return emptyList()
        val list = value(name) as? List<*> ?: reject(name, "a list of tables")
        return list.mapIndexed { index, element ->
            Table(element as? UnmodifiableConfig ?: reject(name, "a list of tables"), "$path$name[$index].")
        }
    }

    /** A host and port. */
    fun address(name: String): Address {
        val text = text(name)
        val port = text.substringAfterLast(':', "").toIntOrNull()
        if (port == null || port !in 0..MAX_PORT) reject(name, "an address with a port")
        return Address(text.substringBeforeLast(':'), port)
    }

    /** Whether the field is present. */
    fun has(name: String) = config.get<Any?>(listOf(name)) != null

    private fun value(name: String): Any =
        config.get<Any?>(listOf(name)) ?: throw SettingsException("missing setting: $path$name")

    /** Throws a [SettingsException] that names the field and what it must be. */
    fun reject(name: String, requirement: String): Nothing =
        throw SettingsException("invalid setting: $path$name must be $requirement")

    companion object {
        private const val MAX_PORT = 65_535

        fun parse(text: String): Table = try {
            Table(TomlParser().parse(text), "")
        } catch (e: ParsingException) {
            throw SettingsException("not TOML: ${e.message}", e)
        }
    }
}
