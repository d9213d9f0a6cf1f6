package topazvale.soak

import java.io.File
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** How the packaged program is started: the command of the deploy file, run in the folder of a build. */
class Program(val folder: Path) {
    /** The command and its arguments, with the settings file as the last one. */
    fun command(settings: Path): List<String> {
        val deploy = folder.resolve("deploy/service.toml").toFile().readText()
        val run = Regex("""(?m)^run = "(.*)"$""").find(deploy) ?: error("no run command in $folder/deploy/service.toml")
        return run.groupValues[1].split(' ') + settings.toString()
    }
}

/** One controller as a real process, which can be ended without a word, stopped and continued. */
class ControllerProcess(
    val member: String,
    private val program: Program,
    private val settings: Path,
    private val logLevel: String,
    private val log: EventLog,
) {
    private var process: Process? = null
    private var killed = false

    init {
        // A soak that is ended leaves no controllers behind.
        Runtime.getRuntime().addShutdownHook(Thread { process?.destroyForcibly() })
    }

    /** Whether the process is there, running or stopped. */
    val alive: Boolean get() = process?.isAlive == true

    /** With what status the process has ended by itself; null while it is there or was killed. */
    val ownExit: Int? get() = process?.takeIf { !it.isAlive && !killed }?.exitValue()

    /** Starts the process, unless it is there. */
    fun start() {
        if (alive) return
        killed = false
        log.add(member, "process starts")
        val started = ProcessBuilder(program.command(settings))
            .directory(program.folder.toFile())
            .redirectErrorStream(true)
            .redirectInput(ProcessBuilder.Redirect.from(File("/dev/null")))
            .also { it.environment()["LOG_LEVEL"] = logLevel }
            .start()
        process = started
        thread(isDaemon = true, name = "output of $member") {
            started.inputStream.bufferedReader().forEachLine { log.add(member, it) }
        }
    }

    /** Ends the process at once. */
    fun kill() {
        val ending = process ?: return
        log.add(member, "process is killed")
        killed = ending.isAlive || killed
        ending.destroyForcibly().waitFor(KILL_LIMIT_S, TimeUnit.SECONDS)
    }

    /** Stops the process where it stands. */
    fun pause() = signal("STOP")

    /** Has a stopped process go on. */
    fun resume() = signal("CONT")

    private fun signal(name: String) {
        val target = process?.takeIf { it.isAlive } ?: return
        log.add(member, "SIG$name")
        ProcessBuilder("kill", "-$name", target.pid().toString()).start().waitFor(KILL_LIMIT_S, TimeUnit.SECONDS)
    }

    private companion object {
        const val KILL_LIMIT_S = 10L
    }
}
