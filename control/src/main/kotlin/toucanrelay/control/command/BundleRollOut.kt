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

/** Puts a signed bundle in force through the table service, or on one process that is cut off from it. */
internal class BundleRollOut : PlatformCommand() {
    @Argument(metaVar = "SIGNED_FILE", usage = "file made by: toucanctl bundle sign")
    private var file: String? = null

    @Option(name = "--expect", metaVar = "N", usage = "version that must be in force now; default is one less")
    private var expected: Long? = null

    @Option(name = "--to", metaVar = "HOST:PORT", usage = "operators' port of one process to hand the bundle to")
    private var process: String? = null

    override suspend fun run(connections: Connections): Result<Report, ControlError> {
        val path = required(file, "SIGNED_FILE").getOrElse { return Err(it) }
        val signed = InputFile(Path.of(path)).signedBundle().getOrElse { return Err(it) }
        val address = process ?: return rollOut(connections, signed)
        return ProcessAddress.parse(address).andThen { handOver(connections, signed, it) }
    }

    private suspend fun rollOut(connections: Connections, signed: SignedBundle): Result<Report, ControlError> {
        val url = platformUrl().getOrElse { return Err(it) }
        val store = BundleStore(connections.platform(url))
        val standing = store.read().getOrElse { return Err(it.toControlError()) }
        if (standing?.signature == signed.signature) {
            return Ok(report(signed, VersionOutcome.UNCHANGED, "version ${signed.version} is accepted already"))
        }
        return store
            .rollOut(signed, expectedVersion(signed))
            .mapError { it.toControlError() }
            .map { report(signed, VersionOutcome.ACCEPTED, "version ${signed.version} is accepted") }
    }

    private suspend fun handOver(
        connections: Connections,
        signed: SignedBundle,
        address: ProcessAddress,
    ): Result<Report, ControlError> =
        connections.processes
            .handOver(signed, address)
            .map { report(signed, VersionOutcome.ACCEPTED, "version ${signed.version} is in force on $address") }

    private fun expectedVersion(signed: SignedBundle): BundleVersion? =
        BundleVersion(expected ?: (signed.version.value - 1)).takeIf { it.value > 0 }

    private fun report(signed: SignedBundle, outcome: VersionOutcome, detail: String): Report =
        VersionReport(signed.version.value, outcome, detail)
}
