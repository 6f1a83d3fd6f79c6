package toucanrelay.gateway

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import toucanrelay.gateway.selftest.SelfTest
import toucanrelay.gateway.selftest.WarmUp
import toucanrelay.gateway.settings.GatewaySettings
import toucanrelay.gateway.settings.SettingsFile
import toucanrelay.gateway.settings.SettingsProblem
import toucanrelay.platform.SettingsLocation
import java.nio.file.Path
import kotlin.concurrent.thread
import kotlin.system.exitProcess

/**
 * The command line of the gateway.
 *
 * @param reloadSignal tells when the settings file of a running gateway has changed.
 */
internal class GatewayCommand(
    private val reloadSignal: ReloadSignal,
) {
    /** Runs the command with [arguments]; ends the process if it fails. */
    fun run(arguments: List<String>) {
        val parsed = GatewayArguments()
        val parser = CmdLineParser(parsed)
        try {
            parser.parseArgument(arguments)
        } catch (invalid: CmdLineException) {
            exitWith("${invalid.message}; see --help")
        }
        if (parsed.help) return printHelp(parser)
        if (parsed.isSelfTest) return runSelfTest()
        val file = parsed.settingsFile ?: SettingsLocation.fromEnvironment()
        if (file == null) exitWith("SETTINGS_FILE is missing; see --help")
        val settingsFile = SettingsFile(Path.of(file))
        if (parsed.isCheckOnly) {
            settingsFile.read().orExit(file)
        } else {
            serve(settingsFile.awaitValid().orExit(file), settingsFile)
        }
    }

    private fun printHelp(parser: CmdLineParser) {
        println("usage: toucanrelay-gateway [--check-settings] [SETTINGS_FILE]")
        parser.printUsage(System.out)
    }

    private fun runSelfTest() {
        val problem = runBlocking { SelfTest().run() }
        if (problem != null) System.err.println("toucanrelay-gateway: self-test failed: $problem")
        exitProcess(if (problem == null) EXIT_OK else EXIT_FAILED)
    }

    private fun Result<GatewaySettings, SettingsProblem>.orExit(file: String): GatewaySettings =
        fold(success = { it }, failure = { exitWith("$file: ${it.detail}") })

    private fun exitWith(message: String): Nothing {
        System.err.println("toucanrelay-gateway: $message")
        exitProcess(EXIT_SETTINGS)
    }

    private fun serve(settings: GatewaySettings, file: SettingsFile) {
        val gateway = Gateway(settings, file)
        if (!stopAtExit(gateway)) return
        reloadSignal.deliverTo(gateway::reload)
        try {
            runBlocking { gateway.start() }
        } catch (failure: Exception) {
            // A stop closes what a start still opens.
            if (gateway.isStopping) return
            System.err.println("toucanrelay-gateway: cannot start: $failure")
            exitProcess(EXIT_FAILED)
        }
        thread(isDaemon = true, name = "warm-up") { runBlocking { WarmUp.run(gateway) } }
    }

    /** Lets SIGTERM stop [gateway], also while it starts; returns false if the process is already ending. */
    private fun stopAtExit(gateway: Gateway): Boolean =
        try {
            Runtime.getRuntime().addShutdownHook(Thread { runBlocking { gateway.stop() } })
            true
        } catch (_: IllegalStateException) {
            false
        }

    private companion object {
        const val EXIT_OK = 0
        const val EXIT_FAILED = 1
        const val EXIT_SETTINGS = 2
    }
}
