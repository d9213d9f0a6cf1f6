package topazvale.cli

import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.file.FileSystemOptions
import kotlinx.coroutines.runBlocking
import org.slf4j.LoggerFactory
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import topazvale.Node
import topazvale.cloud.HttpCloudService
import topazvale.config.Settings
import topazvale.config.SettingsException
import topazvale.config.Tuning
import topazvale.net.Sockets
import topazvale.reconcile.HttpWorkerClient
import topazvale.reconcile.ServiceClients
import topazvale.state.HttpStateService
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

/** The main command: runs a controller until the process is killed. */
@Command(
    name = "topazvale",
    mixinStandardHelpOptions = true,
    version = ["topazvale 0.1.0"],
    description = ["A cluster scheduler that buys machine time by the slack its jobs have left."],
    subcommands = [Check::class, DryRun::class],
)
class Topazvale : Callable<Int> {
    @Option(names = ["--config"], paramLabel = "FILE", description = ["The platform's settings file."])
    var config: Path? = null

    @Option(names = ["--tuning"], paramLabel = "FILE", description = ["The operators' own settings (TOML)."])
    var tuning: Path? = null

    @CommandLine.Spec
    lateinit var spec: CommandLine.Model.CommandSpec

    override fun call(): Int {
        val path = config ?: throw CommandLine.ParameterException(spec.commandLine(), "--config is needed")
        val settings = loadSettings(path, tuning) ?: return INVALID_SETTINGS_STATUS
        val vertx = smallVertx()
        val node = httpNode(vertx, settings)
        runBlocking { node.start() }
        LoggerFactory.getLogger("topazvale").info("{} listens on {}", settings.member, settings.bind)
        CountDownLatch(1).await()
        return 0
    }
}

/** Validates settings files and reports the first error. */
@Command(name = "check", mixinStandardHelpOptions = true, description = ["Checks settings files without starting."])
class Check : Callable<Int> {
    @Parameters(index = "0", paramLabel = "FILE", description = ["The platform's settings file."])
    lateinit var config: Path

    @Option(names = ["--tuning"], paramLabel = "FILE", description = ["The operators' own settings (TOML)."])
    var tuning: Path? = null

    override fun call(): Int {
        val settings = loadSettings(config, tuning) ?: return INVALID_SETTINGS_STATUS
        println("${settings.member}: ${settings.teams.size} teams, ${settings.peers.size} peers; all in order")
        return 0
    }
}

private const val INVALID_SETTINGS_STATUS = 2

private fun loadSettings(path: Path, tuning: Path?): Settings? = try {
    val settings = Settings.load(path)
    if (tuning == null) settings else settings.copy(tuning = Tuning.load(tuning))
} catch (e: SettingsException) {
    System.err.println("topazvale: ${e.message}")
    null
}

/** A Vert.x instance with one event loop and minimal worker pools: the process has a fifth of a core. */
internal fun smallVertx(): Vertx = Vertx.vertx(
    VertxOptions()
        .setEventLoopPoolSize(1)
        .setWorkerPoolSize(1)
        .setInternalBlockingPoolSize(1)
        .setPreferNativeTransport(false)
        // On a small share of a core the event loop can look blocked although it is not.
        .setBlockedThreadCheckInterval(BLOCKED_CHECK_MS)
        .setFileSystemOptions(FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)),
)

/** A node that uses the state service, the cloud and the workers over HTTP. */
internal fun httpNode(vertx: Vertx, settings: Settings): Node {
    // One connection to each peer and one from each peer.
    val sockets = Sockets(settings.maxConnections, fixedConnections = SERVICE_SOCKETS + 2 * settings.peers.size)
    val services = ServiceClients(
        HttpStateService(vertx, settings.state, settings.stateLimits, settings.initialSize),
        HttpCloudService(vertx, settings.cloud, settings.cloudLimits),
        HttpWorkerClient(vertx, sockets),
    )
    return Node(vertx, settings, services, sockets)
}

private const val BLOCKED_CHECK_MS = 60_000L

/** The sockets of the state service client, the cloud client and the two servers, with a reserve. */
private const val SERVICE_SOCKETS = 20

/** Configures logging and runs the command given by the arguments. */
fun main(args: Array<String>) {
    // The logging library reads these when the first logger is created.
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getenv("LOG_LEVEL") ?: "info")
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true")
    System.setProperty("org.slf4j.simpleLogger.log.io", "warn")
    @Suppress("SpreadOperator") // Required by the library, and done only once.
    exitProcess(CommandLine(Topazvale()).execute(*args))
}
