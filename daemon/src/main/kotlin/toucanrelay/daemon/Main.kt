@file:JvmName("Main")

package toucanrelay.daemon

import com.github.michaelbull.result.fold
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import org.tinylog.kotlin.Logger
import sun.misc.Signal
import toucanrelay.daemon.settings.DaemonSettings
import toucanrelay.daemon.settings.SettingsError
import toucanrelay.daemon.settings.SettingsLoader
import toucanrelay.daemon.shell.Daemon
import java.nio.file.Path
import kotlin.system.exitProcess

private const val EXIT_OK = 0
private const val EXIT_FAILED = 1
private const val EXIT_SETTINGS = 2
private const val EXIT_SIGTERM = "143 stopped by SIGTERM after draining"

/** Command-line arguments of the daemon. */
internal class DaemonArguments {
    @Argument(metaVar = "SETTINGS_FILE", usage = "JSON file with the settings of the daemon")
    var settingsFile: String? = null

    @Option(name = "--check-settings", metaVar = "FILE", usage = "checks the settings in FILE and exits")
    var checkedFile: String? = null

    @Option(name = "--help", help = true, usage = "prints this help and exits")
    var help: Boolean = false
}

/** Runs one daemon until the process receives SIGTERM. */
public fun main(arguments: Array<String>) {
    // Before anything else is loaded: without a handler, SIGHUP ends the process.
    Signal.handle(Signal("HUP")) { Logger.warn { "daemon: SIGHUP has no effect; restart to apply changed settings" } }
    val parsed = DaemonArguments()
    val parser = CmdLineParser(parsed)
    try {
        parser.parseArgument(arguments.toList())
    } catch (error: CmdLineException) {
        System.err.println("toucanrelayd: ${error.message}")
        exitProcess(EXIT_SETTINGS)
    }
    val checkedFile = parsed.checkedFile
    val settingsFile = parsed.settingsFile
    when {
        parsed.help -> {
            printHelp(parser)
        }

        checkedFile != null -> {
            loadOrExit(checkedFile)
        }

        settingsFile != null -> {
            serve(loadOrExit(settingsFile))
        }

        else -> {
            System.err.println("toucanrelayd: missing argument SETTINGS_FILE; see toucanrelayd --help")
            exitProcess(EXIT_SETTINGS)
        }
    }
}

private fun printHelp(parser: CmdLineParser) {
    println("usage: toucanrelayd SETTINGS_FILE")
    println("       toucanrelayd --check-settings FILE")
    parser.printUsage(System.out)
    println("exit codes: $EXIT_OK success; $EXIT_FAILED failed to start; $EXIT_SETTINGS invalid input; $EXIT_SIGTERM")
}

private fun loadOrExit(file: String): DaemonSettings =
    SettingsLoader.load(Path.of(file)).fold(success = { it }, failure = { exitWithSettingsError(file, it) })

private fun exitWithSettingsError(file: String, error: SettingsError): Nothing {
    System.err.println("toucanrelayd: $file: ${error.detail}")
    exitProcess(EXIT_SETTINGS)
}

private fun serve(settings: DaemonSettings) {
    val daemon = Daemon(settings)
    try {
        runBlocking { daemon.start() }
    } catch (error: Exception) {
        Logger.error { "daemon: failed to start: ${error.message}" }
        exitProcess(EXIT_FAILED)
    }
    Runtime.getRuntime().addShutdownHook(Thread { runBlocking { daemon.stop() } })
}
