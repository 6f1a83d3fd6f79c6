@file:JvmName("Main")

package toucanrelay.daemon

import com.github.michaelbull.result.fold
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import org.tinylog.kotlin.Logger
import toucanrelay.daemon.settings.DaemonSettings
import toucanrelay.daemon.settings.SettingsError
import toucanrelay.daemon.settings.SettingsLoader
import toucanrelay.daemon.shell.Daemon
import java.nio.file.Path
import kotlin.system.exitProcess

private const val EXIT_OK = 0
private const val EXIT_FAILED = 1
private const val EXIT_SETTINGS = 2
private const val STOPPED = "143 stopped by SIGTERM after it drained"

/** The daemon's command line. */
internal class DaemonArguments {
    @Argument(metaVar = "SETTINGS_FILE", usage = "JSON file with the daemon's settings")
    var settingsFile: String? = null

    @Option(name = "--check-settings", metaVar = "FILE", usage = "checks the settings in FILE and does nothing else")
    var checkedFile: String? = null

    @Option(name = "--help", help = true, usage = "prints this text")
    var help: Boolean = false
}

/** Runs one daemon until SIGTERM. */
public fun main(arguments: Array<String>) {
    val parsed = DaemonArguments()
    val parser = CmdLineParser(parsed)
    try {
        parser.parseArgument(arguments.toList())
    } catch (wrong: CmdLineException) {
        System.err.println("toucanrelayd: ${wrong.message}")
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
            System.err.println("toucanrelayd: SETTINGS_FILE is missing; see toucanrelayd --help")
            exitProcess(EXIT_SETTINGS)
        }
    }
}

private fun printHelp(parser: CmdLineParser) {
    println("usage: toucanrelayd SETTINGS_FILE")
    println("       toucanrelayd --check-settings FILE")
    parser.printUsage(System.out)
    println("exit codes: $EXIT_OK checked; $EXIT_FAILED failed to start; $EXIT_SETTINGS wrong settings; $STOPPED")
}

private fun loadOrExit(file: String): DaemonSettings =
    SettingsLoader.load(Path.of(file)).fold(success = { it }, failure = { exitWith(file, it) })

private fun exitWith(file: String, error: SettingsError): Nothing {
    System.err.println("toucanrelayd: $file: ${error.detail}")
    exitProcess(EXIT_SETTINGS)
}

private fun serve(settings: DaemonSettings) {
    val daemon = Daemon(settings)
    try {
        runBlocking { daemon.start() }
    } catch (failure: Exception) {
        Logger.error { "daemon: cannot start: ${failure.message}" }
        exitProcess(EXIT_FAILED)
    }
    Runtime.getRuntime().addShutdownHook(Thread { runBlocking { daemon.stop() } })
}
