package topazvale.config

import com.electronwill.nightconfig.core.UnmodifiableConfig
import com.electronwill.nightconfig.core.io.ParsingException
import com.electronwill.nightconfig.toml.TomlParser

/** A TOML table whose complaints name the full path of a field. */
internal class Table(private val config: UnmodifiableConfig, private val path: String) {
    /** A text that is not empty. */
    fun text(name: String): String = (value(name) as? String)?.takeIf { it.isNotEmpty() } ?: bad(name, "text")

    /** A number that is finite and not negative. */
    fun amount(name: String): Double = (value(name) as? Number)?.toDouble()?.takeIf { it.isFinite() && it >= 0.0 }
        ?: bad(name, "a number that is not negative")

    /** A number above zero. */
    fun positive(name: String): Double = amount(name).takeIf { it > 0.0 } ?: bad(name, "a number above 0")

    /** A number that is not negative, or [default] where the field is missing. */
    fun amountOr(name: String, default: Double): Double = if (has(name)) amount(name) else default

    /** A table that has to be there. */
    fun subTable(name: String): Table = Table(value(name) as? UnmodifiableConfig ?: bad(name, "a table"), "$path$name.")

    /** A list of tables; empty where the field is missing. */
    fun tables(name: String): List<Table> {
        if (!has(name)) return emptyList()
        val list = value(name) as? List<*> ?: bad(name, "a list of tables")
        return list.mapIndexed { i, v ->
            Table(v as? UnmodifiableConfig ?: bad(name, "a list of tables"), "$path$name[$i].")
        }
    }

    /** A host and port. */
    fun address(name: String): Address {
        val text = text(name)
        val port = text.substringAfterLast(':', "").toIntOrNull()
        if (port == null || port !in 0..LARGEST_PORT) bad(name, "an address with a port")
        return Address(text.substringBeforeLast(':'), port)
    }

    /** Whether the field is there. */
    fun has(name: String) = config.get<Any?>(listOf(name)) != null

    private fun value(name: String): Any =
        config.get<Any?>(listOf(name)) ?: throw SettingsException("missing setting: $path$name")

    /** Complains of the field. */
    fun bad(name: String, wanted: String): Nothing =
        throw SettingsException("invalid setting: $path$name must be $wanted")

    companion object {
        private const val LARGEST_PORT = 65_535

        fun parse(text: String): Table = try {
            Table(TomlParser().parse(text), "")
        } catch (e: ParsingException) {
            throw SettingsException("not TOML: ${e.message}", e)
        }
    }
}
