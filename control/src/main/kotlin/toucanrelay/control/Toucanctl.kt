package toucanrelay.control

import com.github.michaelbull.result.fold
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import toucanrelay.control.command.Command
import toucanrelay.control.command.CommandEntry
import toucanrelay.control.command.OutputForm
import toucanrelay.control.report.Report
import java.io.StringWriter

/** The operators' command-line tool. */
public class Toucanctl(
    private val console: Console,
) {
    /** Runs the subcommand that [arguments] name. */
    public suspend fun run(arguments: List<String>): ExitCode {
        if (arguments.isEmpty() || arguments.first() in HELP) return printOverview()
        val entry = CommandEntry.all.find { it.group == arguments[0] && it.name == arguments.getOrNull(1) }
        if (entry == null) return printUnknown(arguments)
        return run(entry, arguments.drop(WORDS))
    }

    private suspend fun run(entry: CommandEntry, options: List<String>): ExitCode {
        val command = entry.create()
        val parser = CmdLineParser(command)
        try {
            parser.parseArgument(options)
        } catch (wrong: CmdLineException) {
            return printUsageError(entry, wrong.message.orEmpty())
        }
        if (command.isHelpWanted) return printHelp(entry, parser)
        val form = command.outputForm ?: return printUsageError(entry, "--output: allowed is table or json")
        return execute(command, form)
    }

    private suspend fun execute(command: Command, form: OutputForm): ExitCode {
        val connections = Connections()
        return try {
            command.run(connections).fold(success = { printReport(it, form) }, failure = { printError(it, form) })
        } finally {
            connections.close()
        }
    }

    private fun printReport(report: Report, form: OutputForm): ExitCode {
        when (form) {
            OutputForm.JSON -> console.print(report.toJson().toString())
            OutputForm.TABLE -> report.toLines().forEach { console.print(it) }
        }
        return ExitCode.DONE
    }

    private fun printError(error: ControlError, form: OutputForm): ExitCode {
        when (form) {
            OutputForm.JSON -> console.print(Json.encodeToString(ErrorDocument.of(error)))
            OutputForm.TABLE -> error.detail.lines().forEach { console.printError("toucanctl: $it") }
        }
        return error.exitCode
    }

    private fun printOverview(): ExitCode {
        console.print("usage: toucanctl COMMAND [options]; toucanctl COMMAND --help tells more")
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

    private fun printUnknown(arguments: List<String>): ExitCode {
        val known = CommandEntry.all.joinToString { "${it.group} ${it.name}" }
        console.printError(
            "toucanctl: unknown command \"${arguments.take(WORDS).joinToString(" ")}\"; known are $known",
        )
        return ExitCode.USAGE
    }

    private fun printUsageError(entry: CommandEntry, detail: String): ExitCode {
        console.printError("toucanctl: $detail; usage: toucanctl ${entry.synopsis}")
        return ExitCode.USAGE
    }

    private companion object {
        const val WORDS = 2
        val HELP = setOf("--help", "-h", "help")
    }
}

/** An error for machines. */
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
