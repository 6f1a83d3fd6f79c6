package toucanrelay.control.command

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import org.kohsuke.args4j.Option
import toucanrelay.control.Connections
import toucanrelay.control.ControlError
import toucanrelay.control.KeyFile
import toucanrelay.control.report.KeyReport
import toucanrelay.control.report.PublicKeyEntry
import toucanrelay.control.report.Report
import toucanrelay.store.bundle.OperatorKeyPair
import java.nio.file.Path

/**
 * Generates an operator's key pair.
 *
 * The operator keeps the key file; the public key belongs in the settings of every daemon.
 */
internal class KeyGenerate : Command() {
    @Option(name = "--id", metaVar = "ID", usage = "ID of the key")
    private var id: String? = null

    @Option(name = "--key-file", metaVar = "FILE", usage = "file to write the key pair to; must not exist")
    private var keyFile: String? = null

    override suspend fun run(connections: Connections): Result<Report, ControlError> {
        val name = required(id, "--id ID").getOrElse { return Err(it) }
        val destination = required(keyFile, "--key-file FILE").getOrElse { return Err(it) }
        if (!namePattern.matches(name)) return Err(ControlError.Usage("--id: allowed is $NAME_RULE"))
        val pair = OperatorKeyPair.generate(name)
        return KeyFile
            .of(pair)
            .save(Path.of(destination))
            .map { KeyReport(PublicKeyEntry(name, pair.publicKey.toBase64())) }
    }

    private companion object {
        const val NAME_RULE = "1 to 64 letters, digits, dots, underscores and hyphens"
        val namePattern = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
    }
}
