package toucanrelay.soak

import kotlinx.serialization.json.Json
import toucanrelay.gateway.settings.GatewaySettings
import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.writeText

/** A gateway that runs as a process of its own, with a log file for each of its runs. */
internal class GatewayProcess(
    private val settings: GatewaySettings,
    private val directory: Path,
) {
    private val settingsFile = directory.resolve("${settings.instance}.json")
    private lateinit var process: Process
    private var runs = 0

    /** Starts a run. */
    fun start() {
        settingsFile.writeText(Json.encodeToString(GatewaySettings.serializer(), settings))
        val log = directory.resolve("${settings.instance}-${++runs}.log").toFile()
        process =
            ProcessBuilder(command())
                .redirectErrorStream(true)
                .redirectOutput(log)
                .start()
    }

    /** Sends SIGTERM and waits for the end. */
    fun stop() {
        process.destroy()
        if (!process.waitFor(LONGEST_STOP_SECONDS, TimeUnit.SECONDS)) kill()
    }

    /** Sends SIGKILL and waits for the end. */
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
        return listOf(java) + OPTIONS + listOf("-cp", classPath, "toucanrelay.gateway.Main", settingsFile.toString())
    }

    internal companion object {
        private const val LONGEST_STOP_SECONDS = 12L
        private val OPTIONS =
            listOf(
                "-Xmx96m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Dio.netty.machineId=00:00:00:00:00:01",
            )

        /** Where the logs of [seed] go. */
        fun directoryOf(seed: Long): Path = Files.createDirectories(File("target/soak/$seed").toPath())
    }
}
