package toucanrelay.control.command

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.kohsuke.args4j.Option
import toucanrelay.control.Connections
import toucanrelay.control.ControlError
import toucanrelay.control.report.Report

/** How a command shows its result. */
internal enum class OutputForm {
    /** Tables for people. */
    TABLE,

    /** JSON for machines. */
    JSON,
}

/** One subcommand with its options; args4j fills in the options, then [run] is called once. */
internal abstract class Command {
    @Option(name = "--output", metaVar = "table|json", usage = "form of the result")
    private var output: String = "table"

    @Option(name = "--help", help = true, usage = "prints this text")
    var isHelpWanted: Boolean = false

    /** The form of the result; null when the option is wrong. */
    val outputForm: OutputForm?
        get() = OutputForm.entries.find { it.name.equals(output, ignoreCase = true) }

    /** Does what the command says. */
    abstract suspend fun run(connections: Connections): Result<Report, ControlError>
}

/** A subcommand that reaches the platform. */
internal abstract class PlatformCommand : Command() {
    @Option(
        name = "--platform",
        metaVar = "URL",
        usage = "base URL of the platform's services; default is the variable TOUCANRELAY_PLATFORM",
    )
    private var platform: String? = System.getenv("TOUCANRELAY_PLATFORM")

    /** The URL of the platform, or an error that says how to give it. */
    protected fun platformUrl(): Result<String, ControlError> {
        val url = platform
        if (url.isNullOrEmpty()) return Err(ControlError.Usage("--platform URL is missing"))
        if (!url.startsWith("http://") && !url.startsWith("https://")) {
            return Err(ControlError.Usage("--platform: found \"$url\"; allowed is an http or https URL"))
        }
        return Ok(url)
    }
}

/** The value of a required option or argument. */
internal fun required(value: String?, name: String): Result<String, ControlError> =
    if (value.isNullOrEmpty()) Err(ControlError.Usage("$name is missing")) else Ok(value)
