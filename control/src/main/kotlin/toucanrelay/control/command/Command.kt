package toucanrelay.control.command

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.kohsuke.args4j.Option
import toucanrelay.control.Connections
import toucanrelay.control.ControlError
import toucanrelay.control.report.Report

/** Output format of a command. */
internal enum class OutputFormat {
    /** Human-readable text. */
    TABLE,

    /** JSON on a single line. */
    JSON,
}

/** Subcommand with its options; args4j sets the options before [run] is called once. */
internal abstract class Command {
    @Option(name = "--output", metaVar = "table|json", usage = "output format")
    private var output: String = "table"

    @Option(name = "--help", help = true, usage = "prints this help")
    var isHelpRequested: Boolean = false

    /** Requested output format; null if the value of `--output` is invalid. */
    val outputFormat: OutputFormat?
        get() = OutputFormat.entries.find { it.name.equals(output, ignoreCase = true) }

    /** Runs the command and returns its result. */
    abstract suspend fun run(connections: Connections): Result<Report, ControlError>
}

/** Subcommand that calls the platform. */
internal abstract class PlatformCommand : Command() {
    @Option(
        name = "--platform",
        metaVar = "URL",
        usage = "base URL of the platform's services; default is the environment variable TOUCANRELAY_PLATFORM",
    )
    private var platform: String? = System.getenv("TOUCANRELAY_PLATFORM")

    /** Returns the base URL of the platform, or a usage error if it is missing or not an HTTP URL. */
    protected fun platformUrl(): Result<String, ControlError> {
        val url = platform
        if (url.isNullOrEmpty()) return Err(ControlError.Usage("--platform URL is missing"))
        if (!url.startsWith("http://") && !url.startsWith("https://")) {
            return Err(ControlError.Usage("--platform: found \"$url\"; allowed is an http or https URL"))
        }
        return Ok(url)
    }
}

/** Returns [value], or a usage error with [name] if the option or argument is missing. */
internal fun required(value: String?, name: String): Result<String, ControlError> =
    if (value.isNullOrEmpty()) Err(ControlError.Usage("$name is missing")) else Ok(value)
