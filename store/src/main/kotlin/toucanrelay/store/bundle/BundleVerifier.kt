package toucanrelay.store.bundle

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import toucanrelay.core.bundle.Bundle
import java.security.PublicKey
import java.security.Signature
import java.security.SignatureException
import java.util.Base64

/** Verifies the signature and the document of signed bundles; thread-safe. */
public class BundleVerifier(
    keys: Collection<OperatorPublicKey>,
) {
    private val keys: Map<String, PublicKey> = keys.associate { it.id to it.key }

    /** Returns the bundle in [signed] if a known operator's key signed it and its document is valid. */
    public fun verify(signed: SignedBundle): Result<Bundle, BundleError> =
        checkSignature(signed)
            .andThen { BundleReader.read(signed.document) }
            .map { it.toBundle(signed.version) }

    private fun checkSignature(signed: SignedBundle): Result<Unit, BundleError> {
        val key = keys[signed.keyId] ?: return Err(BundleError.UnknownKey(signed.keyId))
        return if (isSignedBy(key, signed)) Ok(Unit) else Err(BundleError.WrongSignature(signed.keyId))
    }

    private fun isSignedBy(key: PublicKey, signed: SignedBundle): Boolean =
        try {
            val signature = Signature.getInstance(ED25519)
            signature.initVerify(key)
            signature.update(signed.signedContent())
            signature.verify(Base64.getDecoder().decode(signed.signature))
        } catch (malformed: SignatureException) {
            false
        } catch (malformed: IllegalArgumentException) {
            false
        }
}
