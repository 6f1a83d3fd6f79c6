package toucanrelay.store.bundle

import com.github.michaelbull.result.Result
import kotlinx.serialization.json.JsonObject
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.store.json.CanonicalJson
import toucanrelay.store.json.MergePatch

/**
 * The difference between two signed bundles as a JSON merge patch (RFC 7396).
 *
 * @property baseVersion the version that the patch applies to.
 * @property version the version that results.
 * @property patch merge patch of the document.
 * @property signature signature of the resulting bundle; it covers the whole document, not the patch.
 * @property keyId name of the key that signed the resulting bundle.
 */
public data class BundlePatch(
    public val baseVersion: BundleVersion,
    public val version: BundleVersion,
    public val patch: JsonObject,
    public val signature: String,
    public val keyId: String,
) {
    /** Returns the patch as canonical JSON in UTF-8. */
    public fun patchBytes(): ByteArray = CanonicalJson.of(patch).toBytes()

    /** Returns the bundle that results from [base]; its signature is invalid if [base] is not the expected bundle. */
    public fun applyTo(base: SignedBundle): SignedBundle =
        SignedBundle(version, MergePatch.apply(base.document, patch), signature, keyId)

    public companion object {
        /** Returns the patch from [base] to [next]. */
        public fun between(base: SignedBundle, next: SignedBundle): BundlePatch =
            BundlePatch(
                baseVersion = base.version,
                version = next.version,
                patch = MergePatch.between(base.document, next.document),
                signature = next.signature,
                keyId = next.keyId,
            )

        /** Parses the JSON text of a merge patch. */
        public fun parsePatch(text: String): Result<JsonObject, BundleError> = BundleReader.parseObject(text)
    }
}
