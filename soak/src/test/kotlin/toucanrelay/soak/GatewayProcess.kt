package toucanrelay.soak

import kotlinx.coroutines.delay
import toucanrelay.gateway.settings.GatewaySettings
import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.util.concurrent.TimeUnit
import kotlin.io.path.deleteIfExists
import kotlin.io.path.moveTo
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** Runs a gateway in its own process and writes a log file for each run. */
internal class GatewayProcess(
    private val settings: GatewaySettings,
    private val directory: Path,
) {
    private val settingsFile = directory.resolve("${settings.instance}.json")
    private val fileLock = Any()
    private lateinit var process: Process
    private var runs = 0
    private val log
        get() = directory.resolve("${settings.instance}-$runs.log")

    /** What the present process has written to its standard output and standard error. */
    val output: String
        get() = log.readText()

    /** Exit code of the process; null while it runs. */
    val exitCode: Int?
        get() = if (process.isAlive) null else process.exitValue()

    /** Writes the settings file and starts the process. */
    fun start() {
        replaceSettings(settings)
        launch()
    }

    /** Starts the process with a pipe in place of its settings file, so that it waits while it reads its settings. */
    fun startAtPipe(): SettingsPipe {
        settingsFile.deleteIfExists()
        return SettingsPipe(settingsFile).also { launch() }
    }

    /** Replaces the settings file by one with [changed] settings. */
    fun replaceSettings(changed: GatewaySettings) =
        synchronized(fileLock) {
            val replacement = directory.resolve("${settings.instance}.json.new")
            replacement.writeText(changed.toJson())
            replacement.moveTo(settingsFile, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
        }

    /** Changes the settings [changes] times, and sends SIGHUP each time if [isSignalled] and the process can handle it. */
    suspend fun changeSettings(changes: Int, isSignalled: Boolean) =
        repeat(changes) { change ->
            val bounds = settings.bounds.copy(retryReserve = settings.bounds.retryReserve + change)
            replaceSettings(settings.copy(bounds = bounds))
            if (isSignalled && hasBegunToStart()) hangUp()
            delay(ReloadPlan.GAP_MILLISECONDS)
        }

    /** The Java runtime ends a process that gets SIGHUP before its first instruction. */
    private fun hasBegunToStart() = exitCode == null && output.isNotEmpty()

    private fun launch() {
        runs++
        process =
            ProcessBuilder(command())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start()
    }

    /** Sends SIGTERM. */
    fun requestStop() = signal("TERM")

    /** Sends SIGHUP. */
    fun hangUp() = signal("HUP")

    /** Returns the exit code of the process, or null if it still runs after [seconds]. */
    fun awaitExit(seconds: Long): Int? {
        process.waitFor(seconds, TimeUnit.SECONDS)
        return exitCode
    }

    /** Sends SIGTERM and waits for the process to exit; kills it after [STOP_TIMEOUT_SECONDS]. */
    fun stop() {
        process.destroy()
        if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) kill()
    }

    /** Sends SIGKILL and waits for the process to exit. */
    fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Sends SIGSTOP. */
    fun pause() = signal("STOP")

    /** Sends SIGCONT. */
    fun resume() = signal("CONT")

    private fun signal(name: String) {
        ProcessBuilder("kill", "-$name", process.pid().toString()).start().waitFor()
    }

    private fun command(): List<String> {
        val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        return listOf(java) + JVM_OPTIONS +
            listOf("-cp", classPath, "toucanrelay.gateway.Main", settingsFile.toString())
    }

    internal companion object {
        private const val STOP_TIMEOUT_SECONDS = 12L
        private val JVM_OPTIONS =
            listOf(
                "-Xmx96m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Dio.netty.machineId=00:00:00:00:00:01",
            )

        /** Creates and returns the directory for the settings and logs of the run [name]. */
        fun directoryOf(name: String): Path = Files.createDirectories(File("target/soak/$name").toPath())
    }
}
