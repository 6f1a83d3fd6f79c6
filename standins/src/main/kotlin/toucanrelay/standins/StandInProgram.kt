package toucanrelay.standins

import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import kotlin.system.exitProcess

private const val EXIT_BAD_ARGUMENTS = 2

/** Command-line options common to all stand-in programs. */
internal open class StandInOptions {
    @Option(name = "--host", metaVar = "IP", usage = "IP address to listen on")
    var host: String = "127.0.0.1"

    @Option(name = "--port", metaVar = "PORT", usage = "port to listen on; 0 picks a free port")
    var port: Int = 0

    @Option(name = "--help", help = true, usage = "print this help")
    var help: Boolean = false
}

/** Parses [arguments] into [options]; prints the usage and exits if they are invalid or contain `--help`. */
internal fun <T : StandInOptions> parseOptions(program: String, options: T, arguments: Array<String>): T {
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(arguments.toList())
    } catch (exception: CmdLineException) {
        System.err.println("$program: ${exception.message}")
        parser.printUsage(System.err)
        exitProcess(EXIT_BAD_ARGUMENTS)
    }
    if (options.help) {
        println("usage: $program [options]")
        parser.printUsage(System.out)
        exitProcess(0)
    }
    return options
}

/** Starts a stand-in, prints its listen address and registers a shutdown hook that stops it. */
internal fun runStandIn(
    program: String,
    host: String,
    start: suspend () -> Int,
    stop: suspend () -> Unit,
) {
    setDefaultLogLevel()
    val port = runBlocking { start() }
    Runtime.getRuntime().addShutdownHook(Thread { runBlocking { stop() } })
    println("$program: listening on $host:$port")
}

private fun setDefaultLogLevel() {
    if (System.getProperty("tinylog.level") == null) System.setProperty("tinylog.level", "info")
}
