package toucanrelay.control

import com.github.michaelbull.result.fold
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import toucanrelay.control.command.Command
import toucanrelay.control.command.CommandEntry
import toucanrelay.control.command.OutputFormat
import toucanrelay.control.report.Report
import java.io.StringWriter

/** Command-line tool for operators. */
public class Toucanctl(
    private val console: Console,
) {
    /** Runs the subcommand given in [arguments] and prints its result or error. */
    public suspend fun run(arguments: List<String>): ExitCode {
        if (arguments.isEmpty() || arguments.first() in HELP_ARGUMENTS) return printOverview()
        val entry = CommandEntry.all.find { it.group == arguments[0] && it.name == arguments.getOrNull(1) }
        if (entry == null) return printUnknownCommand(arguments)
        return run(entry, arguments.drop(COMMAND_WORDS))
    }

    private suspend fun run(entry: CommandEntry, options: List<String>): ExitCode {
        val command = entry.create()
        val parser = CmdLineParser(command)
        try {
            parser.parseArgument(options)
        } catch (invalid: CmdLineException) {
            return printUsageError(entry, invalid.message.orEmpty())
        }
        if (command.isHelpRequested) return printHelp(entry, parser)
        val format = command.outputFormat ?: return printUsageError(entry, "--output: allowed is table or json")
        return execute(command, format)
    }

    private suspend fun execute(command: Command, format: OutputFormat): ExitCode {
        val connections = Connections()
        return try {
            command.run(connections).fold(success = { printReport(it, format) }, failure = { printError(it, format) })
        } finally {
            connections.close()
        }
    }

    private fun printReport(report: Report, format: OutputFormat): ExitCode {
        when (format) {
            OutputFormat.JSON -> console.print(report.toJson().toString())
            OutputFormat.TABLE -> report.toLines().forEach { console.print(it) }
        }
        return ExitCode.DONE
    }

    private fun printError(error: ControlError, format: OutputFormat): ExitCode {
        when (format) {
            OutputFormat.JSON -> console.print(Json.encodeToString(ErrorDocument.of(error)))
            OutputFormat.TABLE -> error.detail.lines().forEach { console.printError("toucanctl: $it") }
        }
        return error.exitCode
    }

    private fun printOverview(): ExitCode {
        console.print("usage: toucanctl COMMAND [options]; toucanctl COMMAND --help shows the options")
        val width = CommandEntry.all.maxOf { it.group.length + it.name.length + 1 }
        CommandEntry.all.forEach { console.print("  ${"${it.group} ${it.name}".padEnd(width)}  ${it.summary}") }
        printExitCodes()
        return ExitCode.DONE
    }

    private fun printHelp(entry: CommandEntry, parser: CmdLineParser): ExitCode {
        console.print("usage: toucanctl ${entry.synopsis}")
        console.print(entry.summary)
        val options = StringWriter().also { parser.printUsage(it, null) }
        options
            .toString()
            .trimEnd()
            .lines()
            .forEach { console.print(it) }
        printExitCodes()
        return ExitCode.DONE
    }

    private fun printExitCodes() {
        console.print("exit codes: " + ExitCode.entries.joinToString("; ") { "${it.number} ${it.meaning}" })
    }

    private fun printUnknownCommand(arguments: List<String>): ExitCode {
        val known = CommandEntry.all.joinToString { "${it.group} ${it.name}" }
        console.printError(
            "toucanctl: unknown command \"${arguments.take(COMMAND_WORDS).joinToString(" ")}\"; known commands: $known",
        )
        return ExitCode.USAGE
    }

    private fun printUsageError(entry: CommandEntry, detail: String): ExitCode {
        console.printError("toucanctl: $detail; usage: toucanctl ${entry.synopsis}")
        return ExitCode.USAGE
    }

    private companion object {
        const val COMMAND_WORDS = 2
        val HELP_ARGUMENTS = setOf("--help", "-h", "help")
    }
}

/** JSON output for a failed command. */
@Serializable
internal data class ErrorDocument(
    val error: String,
    val exitCode: Int,
    val detail: String,
) {
    companion object {
        fun of(error: ControlError): ErrorDocument =
            ErrorDocument(
                error.exitCode.name
                    .lowercase()
                    .replace('_', '-'),
                error.exitCode.number,
                error.detail,
            )
    }
}
