package toucanrelay.control.command

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import toucanrelay.control.Connections
import toucanrelay.control.ControlError
import toucanrelay.control.InputFile
import toucanrelay.control.ProcessAddress
import toucanrelay.control.report.Report
import toucanrelay.control.report.VersionOutcome
import toucanrelay.control.report.VersionReport
import toucanrelay.control.toControlError
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.store.bundle.BundleStore
import toucanrelay.store.bundle.SignedBundle
import java.nio.file.Path

/** Rolls out a signed bundle through the table service, or to one process that cannot reach the table service. */
internal class BundleRollOut : PlatformCommand() {
    @Argument(metaVar = "SIGNED_FILE", usage = "file written by: toucanctl bundle sign")
    private var file: String? = null

    @Option(
        name = "--expect",
        metaVar = "N",
        usage = "version that must be in force now; default is one less than the version in SIGNED_FILE",
    )
    private var expectedVersionNumber: Long? = null

    @Option(name = "--to", metaVar = "HOST:PORT", usage = "operators' port of the one process to send the bundle to")
    private var processAddress: String? = null

    override suspend fun run(connections: Connections): Result<Report, ControlError> {
        val path = required(file, "SIGNED_FILE").getOrElse { return Err(it) }
        val signed = InputFile(Path.of(path)).readSignedBundle().getOrElse { return Err(it) }
        val address = processAddress ?: return rollOut(connections, signed)
        return ProcessAddress.parse(address).andThen { sendToProcess(connections, signed, it) }
    }

    private suspend fun rollOut(connections: Connections, signed: SignedBundle): Result<Report, ControlError> {
        val url = platformUrl().getOrElse { return Err(it) }
        val store = BundleStore(connections.platform(url))
        val current = store.read().getOrElse { return Err(it.toControlError()) }
        if (current?.signature == signed.signature) {
            return Ok(report(signed, VersionOutcome.UNCHANGED, "version ${signed.version} is already accepted"))
        }
        return store
            .rollOut(signed, expectedVersion(signed))
            .mapError { it.toControlError() }
            .map { report(signed, VersionOutcome.ACCEPTED, "version ${signed.version} is accepted") }
    }

    private suspend fun sendToProcess(
        connections: Connections,
        signed: SignedBundle,
        address: ProcessAddress,
    ): Result<Report, ControlError> =
        connections.processClient
            .putBundle(signed, address)
            .map { report(signed, VersionOutcome.ACCEPTED, "version ${signed.version} is in force on $address") }

    private fun expectedVersion(signed: SignedBundle): BundleVersion? =
        BundleVersion(expectedVersionNumber ?: (signed.version.value - 1)).takeIf { it.value > 0 }

    private fun report(signed: SignedBundle, outcome: VersionOutcome, detail: String): Report =
        VersionReport(signed.version.value, outcome, detail)
}
