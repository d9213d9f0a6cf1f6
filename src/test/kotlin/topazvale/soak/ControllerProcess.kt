package topazvale.soak

import java.io.File
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** The packaged program, started by the run command of the deploy file in the folder of a build. */
class Program(val folder: Path) {
    /** The command and its arguments; the settings file is the last one. */
    fun command(settings: Path): List<String> {
        val deploy = folder.resolve("deploy/service.toml").toFile().readText()
        val run = Regex("""(?m)^run = "(.*)"$""").find(deploy) ?: error("no run command in $folder/deploy/service.toml")
        return run.groupValues[1].split(' ') + settings.toString()
    }
}

/** One controller as a real process, which can be killed without a shutdown, paused and resumed. */
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
        // Kills the controller when the soak itself is terminated.
        Runtime.getRuntime().addShutdownHook(Thread { process?.destroyForcibly() })
    }

    /** Whether the process exists, running or paused. */
    val alive: Boolean get() = process?.isAlive == true

    /** The exit status of a process that ended without [kill]; null while it exists or if [kill] ended it. */
    val unexpectedExitStatus: Int? get() = process?.takeIf { !it.isAlive && !killed }?.exitValue()

    /** Starts the process unless it exists. */
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

    /** Kills the process and waits until it has ended. */
    fun kill() {
        val target = process ?: return
        log.add(member, "process is killed")
        killed = target.isAlive || killed
        // Process.destroyForcibly would close the output, and with it lose the last lines.
        target.toHandle().destroyForcibly()
        target.waitFor(SIGNAL_TIMEOUT_S, TimeUnit.SECONDS)
    }

    /** Pauses the process with SIGSTOP. */
    fun pause() = signal("STOP")

    /** Resumes a paused process with SIGCONT. */
    fun resume() = signal("CONT")

    private fun signal(name: String) {
        val target = process?.takeIf { it.isAlive } ?: return
        log.add(member, "SIG$name")
        ProcessBuilder("kill", "-$name", target.pid().toString()).start().waitFor(SIGNAL_TIMEOUT_S, TimeUnit.SECONDS)
    }

    private companion object {
        const val SIGNAL_TIMEOUT_S = 10L
    }
}
