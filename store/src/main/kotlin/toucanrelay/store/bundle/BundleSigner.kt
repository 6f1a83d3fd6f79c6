package toucanrelay.store.bundle

import toucanrelay.core.bundle.BundleVersion
import java.security.Signature
import java.util.Base64

/** Signs bundle documents with one operator's key. */
public class BundleSigner(
    private val key: OperatorPrivateKey,
) {
    /** Signs [document] as [version]. */
    public fun sign(document: BundleDocument, version: BundleVersion): SignedBundle {
        val json = document.toJson()
        val signature = Signature.getInstance(ED25519)
        signature.initSign(key.key)
        signature.update(SignedBundle.signedContentOf(version, json))
        return SignedBundle(version, json, Base64.getEncoder().encodeToString(signature.sign()), key.id)
    }
}
