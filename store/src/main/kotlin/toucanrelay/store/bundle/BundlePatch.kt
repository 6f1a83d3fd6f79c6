package toucanrelay.store.bundle

import com.github.michaelbull.result.Result
import kotlinx.serialization.json.JsonObject
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.store.json.CanonicalJson
import toucanrelay.store.json.MergePatch

/**
 * What changed between two signed bundles, as a JSON merge patch (RFC 7396).
 *
 * @property baseVersion the version that the patch applies to.
 * @property version the version that it leads to.
 * @property patch the change of the document.
 * @property signature signature of the later bundle; it covers the whole document, not the patch.
 * @property keyId name of the key that signed the later bundle.
 */
public data class BundlePatch(
    public val baseVersion: BundleVersion,
    public val version: BundleVersion,
    public val patch: JsonObject,
    public val signature: String,
    public val keyId: String,
) {
    /** The patch as canonical JSON in UTF-8. */
    public fun patchBytes(): ByteArray = CanonicalJson.of(patch).toBytes()

    /** The later bundle, given the earlier one; its signature shows whether [base] was the right one. */
    public fun applyTo(base: SignedBundle): SignedBundle =
        SignedBundle(version, MergePatch.apply(base.document, patch), signature, keyId)

    public companion object {
        /** The change from [base] to [next]. */
        public fun between(base: SignedBundle, next: SignedBundle): BundlePatch =
            BundlePatch(
                baseVersion = base.version,
                version = next.version,
                patch = MergePatch.between(base.document, next.document),
                signature = next.signature,
                keyId = next.keyId,
            )

        /** Reads the JSON text of a merge patch. */
        public fun parsePatch(text: String): Result<JsonObject, BundleError> = BundleReader.parseObject(text)
    }
}
