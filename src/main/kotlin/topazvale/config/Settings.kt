package topazvale.config

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
class SettingsException(message: String, cause: Throwable? = null) : Exception(message, cause)

/** A host and port. */
data class Address(val host: String, val port: Int) {
    override fun toString() = "$host:$port"
}

/** A controller of the cluster, and where its peers reach it. */
data class Peer(val member: String, val zone: String, val address: Address)

/** How workers behave. */
data class WorkerLimits(
    val reportInterval: Duration,
    val lease: Duration,
    val gangStartTimeout: Duration,
    val gangPeerTimeout: Duration,
    val cancelLimit: Duration,
)

/** What the state service takes: requests and changes a second, bytes a value, changes a transaction. */
data class StateLimits(val rps: Double, val writeRps: Double, val valueBytes: Int, val opsPerTransaction: Int) {
    /** What keeps within both. */
    fun within(other: StateLimits) = StateLimits(
        minOf(rps, other.rps),
        minOf(writeRps, other.writeRps),
        minOf(valueBytes, other.valueBytes),
        minOf(opsPerTransaction, other.opsPerTransaction),
    )
}

/** What the cloud takes, and by how much its machine list lags. */
data class CloudLimits(val rps: Double, val listLag: Duration)

/** What the platform hands over. */
data class Settings(
    val member: String,
    val zone: String,
    val bind: Address,
    val mesh: Address,
    val peers: List<Peer>,
    val cloud: Address,
    val state: Address,
    val initialSize: Int,
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
            throw SettingsException("cannot read $path", e)
        }

        fun parse(text: String, tuning: Tuning = Tuning()): Settings {
            val top = Table.parse(text)
            val deployment = top.subTable("deployment")
            val workers = deployment.subTable("workers")
            val state = deployment.subTable("state")
            val cloud = deployment.subTable("cloud")
            return Settings(
                member = top.text("member"),
                zone = top.text("area"),
                bind = top.address("bind"),
                mesh = top.address("mesh_addr"),
                peers = top.tables("seeds").map { Peer(it.text("member"), it.text("area"), it.address("address")) },
                cloud = top.subTable("outside").address("cloud"),
                state = top.subTable("outside").address("state"),
                initialSize = deployment.positive("initial_size").toInt(),
                clockError = deployment.amount("clock_error_ms").milliseconds,
                teams = deployment.tables("teams").map(::team).associateBy { it.name },
                objectives = deployment.tables("objectives").mapNotNull(::objective).groupBy { it.queue },
                workers = WorkerLimits(
                    reportInterval = workers.positive("report_s").seconds,
                    lease = workers.positive("lease_s").seconds,
                    gangStartTimeout = workers.positive("gang_wait_s").seconds,
                    gangPeerTimeout = workers.positive("gang_peer_s").seconds,
                    cancelLimit = workers.positive("cancel_s").seconds,
                ),
                stateLimits = stateLimits(state),
                maxConnections = deployment.subTable("resources").positive("max_connections").toInt(),
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
            val next = if (state.has("next")) state.subTable("next") else return now
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
            opsPerTransaction = t.positive("txn_ops").toInt().also {
                if (it < LEAST_OPS) t.bad("txn_ops", "at least $LEAST_OPS")
            },
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
            mapOf(
                "wait" to ObjectiveKind.STARTED,
                "finished" to ObjectiveKind.FINISHED,
                "deadline" to ObjectiveKind.DEADLINE,
            )

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
