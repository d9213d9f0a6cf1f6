package topazvale.config

import topazvale.model.Objective
import topazvale.model.ObjectiveKind
import topazvale.model.Resources
import topazvale.model.Team
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration

/** A setting that is missing, of the wrong type, or impossible; [message] names the field. */
class SettingsException(message: String, cause: Throwable? = null) : Exception(message, cause)

/** A host and port. */
data class Address(val host: String, val port: Int) {
    override fun toString() = "$host:$port"
}

/** A controller of the cluster, with the address at which its peers reach it. */
data class Peer(val member: String, val zone: String, val address: Address)

/** Timing of the protocol with the workers. */
data class WorkerLimits(
    val reportInterval: Duration,
    val lease: Duration,
    val gangStartTimeout: Duration,
    val gangPeerTimeout: Duration,
    val cancelLimit: Duration,
)

/** Limits of the state service: requests and changes per second, bytes per value, changes per transaction. */
data class StateLimits(val rps: Double, val writeRps: Double, val valueBytes: Int, val opsPerTransaction: Int) {
    /** The lower of both values for each limit. */
    fun lowerOfBoth(other: StateLimits) = StateLimits(
        minOf(rps, other.rps),
        minOf(writeRps, other.writeRps),
        minOf(valueBytes, other.valueBytes),
        minOf(opsPerTransaction, other.opsPerTransaction),
    )
}

/** The request rate limit of the cloud, and the delay of its machine list. */
data class CloudLimits(val rps: Double, val listLag: Duration)

/** The settings that the platform provides. */
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
    /** By queue. */
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
            val root = Table.parse(text)
            val deployment = root.subTable("deployment")
            val workers = deployment.subTable("workers")
            val state = deployment.subTable("state")
            val cloud = deployment.subTable("cloud")
            return Settings(
                member = root.text("member"),
                zone = root.text("area"),
                bind = root.address("bind"),
                mesh = root.address("mesh_addr"),
                peers = root.tables("seeds").map { Peer(it.text("member"), it.text("area"), it.address("address")) },
                cloud = root.subTable("outside").address("cloud"),
                state = root.subTable("outside").address("state"),
                initialSize = deployment.positive("initial_size").toInt(),
                clockError = deployment.milliseconds("clock_error_ms"),
                teams = deployment.tables("teams").map(::team).associateBy { it.name },
                objectives = deployment.tables("objectives").mapNotNull(::objective).groupBy { it.queue },
                workers = WorkerLimits(
                    reportInterval = workers.positiveSeconds("report_s"),
                    lease = workers.positiveSeconds("lease_s"),
                    gangStartTimeout = workers.positiveSeconds("gang_wait_s"),
                    gangPeerTimeout = workers.positiveSeconds("gang_peer_s"),
                    cancelLimit = workers.positiveSeconds("cancel_s"),
                ),
                stateLimits = stateLimits(state),
                maxConnections = deployment.subTable("resources").positive("max_connections").toInt(),
                cloudLimits = CloudLimits(cloud.positive("rps"), cloud.seconds("list_lag_s")),
                tuning = tuning,
            )
        }

        /**
         * The state service may switch to its next limits at any time without notice, so the lower of both limits
         * applies from the start.
         */
        private fun stateLimits(state: Table): StateLimits {
            val current = limits(state, state.positive("rps"))
            val next = if (state.has("next")) state.subTable("next") else return current
            return current.lowerOfBoth(limits(next, if (next.has("rps")) next.positive("rps") else current.rps))
        }

        private fun limits(table: Table, rps: Double) = StateLimits(
            rps = rps,
            writeRps = table.positive("write_rps"),
            valueBytes = (table.positive("value_kb") * 1024).toInt().also {
                if (it <
                    MIN_VALUE_BYTES
                ) {
                    table.reject("value_kb", "at least 1")
                }
            },
            opsPerTransaction = table.positive("txn_ops").toInt().also {
                if (it < MIN_OPS_PER_TRANSACTION) table.reject("txn_ops", "at least $MIN_OPS_PER_TRANSACTION")
            },
        )

        /** Finalizing a job takes a delete, a put and at least one change of a related record. */
        private const val MIN_OPS_PER_TRANSACTION = 3
        private const val MIN_VALUE_BYTES = 1024

        /** Null for an unknown kind, which a later version of the platform may add. */
        private fun objective(table: Table): Objective? {
            val kind = objectiveKinds[table.text("kind")] ?: return null
            val within = if (kind == ObjectiveKind.DEADLINE) Duration.ZERO else table.positiveSeconds("within_s")
            return Objective(table.text("class"), kind, within, table.nonNegativeOr("times", 1.0))
        }

        private val objectiveKinds =
            mapOf(
                "wait" to ObjectiveKind.STARTED,
                "finished" to ObjectiveKind.FINISHED,
                "deadline" to ObjectiveKind.DEADLINE,
            )

        private fun team(table: Table): Team {
            val cpusMax = table.nonNegative("cpus_max")
            val gpusMax = table.nonNegative("gpus_max")
            return Team(
                name = table.text("name"),
                guaranteed = Resources(table.nonNegative("cpus"), table.nonNegative("gpus"), 0.0),
                limitCpus = cpusMax.takeIf { it > 0.0 },
                limitGpus = gpusMax.takeIf { it > 0.0 },
            )
        }
    }
}
