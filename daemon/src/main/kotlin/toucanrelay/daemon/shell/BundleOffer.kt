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

/** Why a bundle that an operator handed to this process is not in force. */
internal sealed interface OfferError {
    val detail: String

    /** The bundle itself is not accepted. */
    data class Refused(
        val cause: BundleError,
    ) : OfferError {
        override val detail: String
            get() = cause.detail
    }

    /** The process holds a version that is not lower. */
    data class NotHigher(
        val held: BundleVersion,
    ) : OfferError {
        override val detail: String
            get() = "the process holds version $held"
    }

    /** The bundle was taken in but is not in force, as this process cannot know yet whether it is the latest. */
    data object NotConfirmed : OfferError {
        override val detail: String
            get() = "the bundle is held until the table service or a peer confirms that none is newer"
    }
}

/** Takes in bundles that operators hand to this process directly. */
internal class BundleOffer(
    private val fleet: FleetNode,
) {
    /** Puts the signed bundle in [text] in force. */
    fun offer(text: String): Result<BundleVersion, OfferError> =
        SignedBundle
            .parse(text)
            .mapError { OfferError.Refused(it) }
            .andThen { accept(it) }

    private fun accept(signed: SignedBundle): Result<BundleVersion, OfferError> {
        val before = fleet.heldVersion
        return fleet
            .offer(signed)
            .mapError { OfferError.Refused(it) }
            .andThen { outcome(signed.version, before) }
    }

    private fun outcome(offered: BundleVersion, before: BundleVersion): Result<BundleVersion, OfferError> {
        if (before >= offered) return Err(OfferError.NotHigher(before))
        val inForce =
            fleet.bundles.current.value
                ?.version
        return if (inForce != null && inForce >= offered) Ok(inForce) else Err(OfferError.NotConfirmed)
    }
}
