package toucanrelay.daemon.shell

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.daemon.fleet.BundleExchange
import toucanrelay.daemon.fleet.BundleRegister
import toucanrelay.daemon.fleet.toUpdate
import toucanrelay.platform.bundle.BundleError
import toucanrelay.platform.bundle.BundleVerifier
import toucanrelay.platform.bundle.SignedBundle

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

    /** A version that is not lower is in force. */
    data class NotHigher(
        val inForce: BundleVersion,
    ) : OfferError {
        override val detail: String
            get() = "version $inForce is in force"
    }

    /** The bundle was taken in but is not in force, as this process cannot know yet whether it is the latest. */
    data object NotConfirmed : OfferError {
        override val detail: String
            get() = "the bundle is held and not yet in force"
    }
}

/** Takes in bundles that operators hand to this process directly. */
internal class BundleOffer(
    private val verifier: BundleVerifier,
    private val register: BundleRegister,
    private val exchange: BundleExchange,
) {
    /** Puts the signed bundle in [text] in force. */
    fun offer(text: String): Result<BundleVersion, OfferError> =
        SignedBundle
            .parse(text)
            .andThen { signed -> verifier.verify(signed).map { signed } }
            .mapError { OfferError.Refused(it) }
            .andThen { accept(it) }

    private fun accept(signed: SignedBundle): Result<BundleVersion, OfferError> {
        val before = register.current.value?.version
        if (before != null && before >= signed.version) return Err(OfferError.NotHigher(before))
        exchange.accept(signed.toUpdate())
        val after = register.current.value?.version
        if (after == null || after < signed.version) return Err(OfferError.NotConfirmed)
        return Ok(after)
    }
}
