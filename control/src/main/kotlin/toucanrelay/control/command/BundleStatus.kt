package toucanrelay.control.command

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import org.kohsuke.args4j.Option
import toucanrelay.control.Connections
import toucanrelay.control.ControlError
import toucanrelay.control.report.BundleStatusReport
import toucanrelay.control.report.DocumentReport
import toucanrelay.control.report.Report
import toucanrelay.control.toControlError
import toucanrelay.store.bundle.BundleReader
import toucanrelay.store.bundle.BundleStore
import toucanrelay.store.bundle.SignedBundle

/** Shows the bundle in force. */
internal class BundleStatus : PlatformCommand() {
    @Option(name = "--document", usage = "shows the whole bundle document, for editing")
    private var isDocumentRequested: Boolean = false

    override suspend fun run(connections: Connections): Result<Report, ControlError> {
        val url = platformUrl().getOrElse { return Err(it) }
        val signed = BundleStore(connections.platform(url)).read().getOrElse { return Err(it.toControlError()) }
        return if (signed == null) Err(ControlError.Refused("no bundle has been rolled out yet")) else report(signed)
    }

    private fun report(signed: SignedBundle): Result<Report, ControlError> =
        BundleReader
            .read(signed.document)
            .mapError { ControlError.Refused("the bundle in force is invalid: ${it.detail}") }
            .map { document ->
                if (isDocumentRequested) {
                    DocumentReport(signed.document)
                } else {
                    BundleStatusReport.of(signed.version.value, signed.keyId, document)
                }
            }
}
