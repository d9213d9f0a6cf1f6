package topazvale.config

import com.electronwill.nightconfig.core.UnmodifiableConfig
import com.electronwill.nightconfig.core.io.ParsingException
import com.electronwill.nightconfig.toml.TomlParser
import topazvale.model.Objective
import topazvale.model.ObjectiveKind
import topazvale.model.Resources
import topazvale.model.Team
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A setting that is missing, of the wrong type, or impossible; [message] names the field. */
class SettingsException(message: String) : Exception(message)

data class Address(val host: String, val port: Int) {
    override fun toString() = "$host:$port"
}

data class Seed(val member: String, val zone: String, val mesh: Address)

data class WorkerLimits(
    val report: Duration,
    val lease: Duration,
    val gangWait: Duration,
    val gangPeer: Duration,
    val cancel: Duration,
)

data class StateLimits(val rps: Double, val writeRps: Double, val valueBytes: Int, val ops: Int) {
    /** What keeps within both. */
    fun within(other: StateLimits) = StateLimits(
        minOf(rps, other.rps),
        minOf(writeRps, other.writeRps),
        minOf(valueBytes, other.valueBytes),
        minOf(ops, other.ops),
    )
}

data class CloudLimits(val rps: Double, val listLag: Duration)

/** What the platform hands over. */
data class Settings(
    val member: String,
    val zone: String,
    val bind: Address,
    val mesh: Address,
    val seeds: List<Seed>,
    val cloud: Address,
    val state: Address,
    val size: Int,
    val clockError: Duration,
    val teams: Map<String, Team>,
    /** By class. */
    val objectives: Map<String, List<Objective>>,
    val workers: WorkerLimits,
    val stateLimits: StateLimits,
    val cloudLimits: CloudLimits,
    val maxConnections: Int,
    val tuning: Tuning,
) {
    companion object {
        fun load(path: Path): Settings = parse(readFile(path))

        internal fun readFile(path: Path): String = try {
            Files.readString(path)
        } catch (e: java.io.IOException) {
            throw SettingsException("cannot read $path")
        }

        fun parse(text: String, tuning: Tuning = Tuning()): Settings {
            val top = Table.parse(text)
            val deployment = top.table("deployment")
            val workers = deployment.table("workers")
            val state = deployment.table("state")
            val cloud = deployment.table("cloud")
            return Settings(
                member = top.text("member"),
                zone = top.text("area"),
                bind = top.address("bind"),
                mesh = top.address("mesh_addr"),
                seeds = top.tables("seeds").map { Seed(it.text("member"), it.text("area"), it.address("address")) },
                cloud = top.table("outside").address("cloud"),
                state = top.table("outside").address("state"),
                size = deployment.positive("initial_size").toInt(),
                clockError = deployment.amount("clock_error_ms").milliseconds,
                teams = deployment.tables("teams").map(::team).associateBy { it.name },
                objectives = deployment.tables("objectives").mapNotNull(::objective).groupBy { it.queue },
                workers = WorkerLimits(
                    report = workers.positive("report_s").seconds,
                    lease = workers.positive("lease_s").seconds,
                    gangWait = workers.positive("gang_wait_s").seconds,
                    gangPeer = workers.positive("gang_peer_s").seconds,
                    cancel = workers.positive("cancel_s").seconds,
                ),
                stateLimits = stateLimits(state),
                maxConnections = deployment.table("resources").positive("max_connections").toInt(),
                cloudLimits = CloudLimits(cloud.positive("rps"), cloud.amount("list_lag_s").seconds),
                tuning = tuning,
            )
        }

        /**
         * The service may change to its next limits at any moment and without notice: what is written keeps within the
         * smaller of both from the start.
         */
        private fun stateLimits(state: Table): StateLimits {
            val now = limits(state, state.positive("rps"))
            val next = if (state.has("next")) state.table("next") else return now
            return now.within(limits(next, if (next.has("rps")) next.positive("rps") else now.rps))
        }

        private fun limits(t: Table, rps: Double) = StateLimits(
            rps = rps,
            writeRps = t.positive("write_rps"),
            valueBytes = (t.positive("value_kb") * 1024).toInt().also {
                if (it <
                    LEAST_VALUE
                ) {
                    t.bad("value_kb", "at least 1")
                }
            },
            ops = t.positive("txn_ops").toInt().also { if (it < LEAST_OPS) t.bad("txn_ops", "at least $LEAST_OPS") },
        )

        /** The end of a job takes a removal and a write, and one of what goes with it. */
        private const val LEAST_OPS = 3
        private const val LEAST_VALUE = 1024

        /** Kinds that may come later say nothing to us. */
        private fun objective(t: Table): Objective? {
            val promise = promises[t.text("kind")] ?: return null
            val within = if (promise == ObjectiveKind.DEADLINE) Duration.ZERO else t.positive("within_s").seconds
            return Objective(t.text("class"), promise, within, t.amountOr("times", 1.0))
        }

        private val promises =
            mapOf("wait" to ObjectiveKind.STARTED, "finished" to ObjectiveKind.FINISHED, "deadline" to ObjectiveKind.DEADLINE)

        private fun team(t: Table): Team {
            val cpusMax = t.amount("cpus_max")
            val gpusMax = t.amount("gpus_max")
            return Team(
                name = t.text("name"),
                guaranteed = Resources(t.amount("cpus"), t.amount("gpus"), 0.0),
                limitCpus = cpusMax.takeIf { it > 0.0 },
                limitGpus = gpusMax.takeIf { it > 0.0 },
            )
        }
    }
}

/** A TOML table whose complaints name the full path of a field. */
internal class Table(private val config: UnmodifiableConfig, private val path: String) {
    fun text(name: String): String = (value(name) as? String)?.takeIf { it.isNotEmpty() } ?: bad(name, "text")

    fun amount(name: String): Double = (value(name) as? Number)?.toDouble()?.takeIf { it.isFinite() && it >= 0.0 }
        ?: bad(name, "a number that is not negative")

    fun positive(name: String): Double = amount(name).takeIf { it > 0.0 } ?: bad(name, "a number above 0")

    fun amountOr(name: String, default: Double): Double = if (has(name)) amount(name) else default

    fun table(name: String): Table = Table(value(name) as? UnmodifiableConfig ?: bad(name, "a table"), "$path$name.")

    fun tables(name: String): List<Table> {
        if (!has(name)) return emptyList()
        val list = value(name) as? List<*> ?: bad(name, "a list of tables")
        return list.mapIndexed { i, v ->
            Table(v as? UnmodifiableConfig ?: bad(name, "a list of tables"), "$path$name[$i].")
        }
    }

    fun address(name: String): Address {
        val text = text(name)
        val port = text.substringAfterLast(':', "").toIntOrNull()
        if (port == null || port !in 0..65535) bad(name, "an address with a port")
        return Address(text.substringBeforeLast(':'), port)
    }

    fun has(name: String) = config.get<Any?>(listOf(name)) != null

    private fun value(name: String): Any =
        config.get<Any?>(listOf(name)) ?: throw SettingsException("missing setting: $path$name")

    fun bad(name: String, wanted: String): Nothing =
        throw SettingsException("invalid setting: $path$name must be $wanted")

    companion object {
        fun parse(text: String): Table = try {
            Table(TomlParser().parse(text), "")
        } catch (e: ParsingException) {
            throw SettingsException("not TOML: ${e.message}")
        }
    }
}
