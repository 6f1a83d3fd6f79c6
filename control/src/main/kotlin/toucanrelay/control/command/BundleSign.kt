package toucanrelay.control.command

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import toucanrelay.control.Connections
import toucanrelay.control.ControlError
import toucanrelay.control.InputFile
import toucanrelay.control.KeyFile
import toucanrelay.control.report.Report
import toucanrelay.control.report.VersionOutcome
import toucanrelay.control.report.VersionReport
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.store.bundle.BundleSigner
import toucanrelay.store.bundle.SignedBundle
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Signs a bundle document as a new version. */
internal class BundleSign : Command() {
    @Argument(metaVar = "FILE", usage = "JSON file with the bundle document")
    private var file: String? = null

    @Option(name = "--version", metaVar = "N", usage = "number of the new version; one more than the version in force")
    private var version: Long = 0

    @Option(name = "--key", metaVar = "FILE", usage = "the operator's key file")
    private var key: String? = null

    @Option(name = "--signed-file", metaVar = "FILE", usage = "file to write the signed bundle to")
    private var signedFile: String? = null

    override suspend fun run(connections: Connections): Result<Report, ControlError> {
        val source = required(file, "FILE").getOrElse { return Err(it) }
        val keyFile = required(key, "--key FILE").getOrElse { return Err(it) }
        val destination = required(signedFile, "--signed-file FILE").getOrElse { return Err(it) }
        if (version < 1) return Err(ControlError.Usage("--version: allowed is a whole number from 1"))
        val operator = KeyFile.load(Path.of(keyFile)).getOrElse { return Err(it) }
        return InputFile(Path.of(source))
            .readDocument()
            .map { BundleSigner(operator.privateKey).sign(it, BundleVersion(version)) }
            .andThen { write(it, Path.of(destination)) }
    }

    private fun write(signed: SignedBundle, destination: Path): Result<Report, ControlError> =
        try {
            Files.writeString(destination, signed.toJson() + "\n")
            val detail = "version $version signed with the key \"${signed.keyId}\" in $destination"
            Ok(VersionReport(version, VersionOutcome.SIGNED, detail))
        } catch (failure: IOException) {
            Err(ControlError.Refused("$destination cannot be written: ${failure.javaClass.simpleName}"))
        }
}
