package toucanrelay.daemon.shell

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.mapError
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.daemon.fleet.FleetNode
import toucanrelay.store.bundle.BundleError
import toucanrelay.store.bundle.SignedBundle

/** Reason why a bundle that an operator uploaded to this process is not in force. */
internal sealed interface BundleUploadError {
    val detail: String

    /** The bundle is invalid or its signature is not accepted. */
    data class Refused(
        val cause: BundleError,
    ) : BundleUploadError {
        override val detail: String
            get() = cause.detail
    }

    /** The process already holds the same version or a higher one. */
    data class NotHigher(
        val held: BundleVersion,
    ) : BundleUploadError {
        override val detail: String
            get() = "the process holds version $held"
    }

    /** The bundle is held but not in force, because it is not yet confirmed to be the latest version. */
    data object NotConfirmed : BundleUploadError {
        override val detail: String
            get() = "the bundle is held until the table service or a peer confirms that none is newer"
    }
}

/** Handles bundles that operators upload directly to this process. */
internal class BundleUploadHandler(
    private val fleet: FleetNode,
) {
    /** Verifies and holds the signed bundle in [text]; returns the version in force, or why the bundle is not. */
    fun handle(text: String): Result<BundleVersion, BundleUploadError> =
        SignedBundle
            .parse(text)
            .mapError { BundleUploadError.Refused(it) }
            .andThen { accept(it) }

    private fun accept(signed: SignedBundle): Result<BundleVersion, BundleUploadError> {
        val previousVersion = fleet.heldVersion
        return fleet
            .acceptFromOperator(signed)
            .mapError { BundleUploadError.Refused(it) }
            .andThen { checkInForce(signed.version, previousVersion) }
    }

    private fun checkInForce(
        uploaded: BundleVersion,
        previous: BundleVersion,
    ): Result<BundleVersion, BundleUploadError> {
        if (previous >= uploaded) return Err(BundleUploadError.NotHigher(previous))
        val inForce =
            fleet.bundles.current.value
                ?.version
        return if (inForce != null && inForce >= uploaded) Ok(inForce) else Err(BundleUploadError.NotConfirmed)
    }
}
