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
import toucanrelay.control.KeyFile
import toucanrelay.control.report.Report
import toucanrelay.control.report.VersionOutcome
import toucanrelay.control.report.VersionReport
import toucanrelay.control.toControlError
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.store.bundle.BundleDocument
import toucanrelay.store.bundle.BundleReader
import toucanrelay.store.bundle.BundleSigner
import toucanrelay.store.bundle.BundleStore
import toucanrelay.store.bundle.BundleVerifier
import toucanrelay.store.bundle.OperatorKeyPair
import toucanrelay.store.bundle.OperatorPublicKey
import toucanrelay.store.bundle.SignedBundle
import java.nio.file.Path

/**
 * Takes a failure domain out of service or brings it back by rolling out the next bundle version.
 *
 * The signature of the version in force is verified first: otherwise the operator would sign content that somebody else
 * wrote into the table service.
 */
internal class FailureDomainChange(
    private val inService: Boolean,
) : PlatformCommand() {
    @Argument(metaVar = "FAILURE_DOMAIN", usage = "name of the failure domain in the bundle")
    private var failureDomain: String? = null

    @Option(name = "--key", metaVar = "FILE", usage = "the operator's key file, used to sign the next version")
    private var key: String? = null

    @Option(
        name = "--operator-keys",
        metaVar = "FILE",
        usage = "JSON list of the other operators' public keys, in the format of the setting operatorKeys",
    )
    private var operatorKeys: String? = null

    override suspend fun run(connections: Connections): Result<Report, ControlError> {
        val name = required(failureDomain, "FAILURE_DOMAIN").getOrElse { return Err(it) }
        val keyFile = required(key, "--key FILE").getOrElse { return Err(it) }
        val url = platformUrl().getOrElse { return Err(it) }
        val operator = KeyFile.load(Path.of(keyFile)).getOrElse { return Err(it) }
        val trusted = loadTrustedKeys(operator).getOrElse { return Err(it) }
        val store = BundleStore(connections.platform(url))
        val current = store.read().getOrElse { return Err(it.toControlError()) }
        val document = verifiedDocument(current, trusted).getOrElse { return Err(it) }
        return change(Change(name, document, operator, current?.version ?: BundleVersion(0)), store)
    }

    private fun loadTrustedKeys(operator: OperatorKeyPair): Result<List<OperatorPublicKey>, ControlError> {
        val others = operatorKeys ?: return Ok(listOf(operator.publicKey))
        return KeyFile.loadPublicKeys(Path.of(others)).map { it + operator.publicKey }
    }

    private fun verifiedDocument(
        current: SignedBundle?,
        trusted: List<OperatorPublicKey>,
    ): Result<BundleDocument, ControlError> {
        if (current == null) return Err(ControlError.Refused("no bundle has been rolled out yet"))
        return BundleVerifier(trusted)
            .verify(current)
            .andThen { BundleReader.read(current.document) }
            .mapError {
                ControlError.Refused("the bundle in force cannot be verified: ${it.detail}; see --operator-keys")
            }
    }

    private suspend fun change(change: Change, store: BundleStore): Result<Report, ControlError> {
        val state = change.document.failureDomains[change.failureDomain]
        if (state == null) {
            val allowed =
                change.document.failureDomains.keys
                    .sorted()
                    .joinToString()
            return Err(
                ControlError.Refused("unknown failure domain \"${change.failureDomain}\"; allowed is one of $allowed"),
            )
        }
        if (state.inService == inService) return Ok(change.unchanged())
        val next = change.sign()
        return store
            .rollOut(next, change.currentVersion)
            .mapError { it.toControlError() }
            .map { change.accepted(next) }
    }

    private fun stateName(): String = if (inService) "in service" else "out of service"

    private inner class Change(
        val failureDomain: String,
        val document: BundleDocument,
        val operator: OperatorKeyPair,
        val currentVersion: BundleVersion,
    ) {
        fun sign(): SignedBundle {
            val changed = document.failureDomains.getValue(failureDomain).copy(inService = inService)
            val next = document.copy(failureDomains = document.failureDomains + (failureDomain to changed))
            return BundleSigner(operator.privateKey).sign(next, BundleVersion(currentVersion.value + 1))
        }

        fun unchanged(): Report {
            val detail = "$failureDomain is already ${stateName()} in version $currentVersion"
            return VersionReport(currentVersion.value, VersionOutcome.UNCHANGED, detail)
        }

        fun accepted(next: SignedBundle): Report {
            val detail = "$failureDomain is ${stateName()} in version ${next.version}, which was accepted"
            return VersionReport(next.version.value, VersionOutcome.ACCEPTED, detail)
        }
    }
}
