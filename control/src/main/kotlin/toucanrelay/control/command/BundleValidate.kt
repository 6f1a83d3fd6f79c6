package toucanrelay.control.command

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import org.kohsuke.args4j.Argument
import toucanrelay.control.Connections
import toucanrelay.control.ControlError
import toucanrelay.control.InputFile
import toucanrelay.control.report.Report
import toucanrelay.control.report.ValidityReport
import java.nio.file.Path

/** Validates a bundle document. */
internal class BundleValidate : Command() {
    @Argument(metaVar = "FILE", usage = "JSON file with the bundle document")
    private var file: String? = null

    override suspend fun run(connections: Connections): Result<Report, ControlError> =
        required(file, "FILE")
            .andThen { InputFile(Path.of(it)).readDocument() }
            .map { ValidityReport.of(it) }
}
