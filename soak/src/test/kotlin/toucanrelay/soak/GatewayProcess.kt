package toucanrelay.soak

import kotlinx.serialization.json.Json
import toucanrelay.gateway.settings.GatewaySettings
import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.writeText

/** Runs a gateway in its own process and writes a log file for each run. */
internal class GatewayProcess(
    private val settings: GatewaySettings,
    private val directory: Path,
) {
    private val settingsFile = directory.resolve("${settings.instance}.json")
    private lateinit var process: Process
    private var runs = 0

    /** Writes the settings file and starts the process. */
    fun start() {
        settingsFile.writeText(Json.encodeToString(GatewaySettings.serializer(), settings))
        val log = directory.resolve("${settings.instance}-${++runs}.log").toFile()
        process =
            ProcessBuilder(command())
                .redirectErrorStream(true)
                .redirectOutput(log)
                .start()
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

        /** Creates and returns the directory for the settings and logs of the run with [seed]. */
        fun directoryOf(seed: Long): Path = Files.createDirectories(File("target/soak/$seed").toPath())
    }
}
