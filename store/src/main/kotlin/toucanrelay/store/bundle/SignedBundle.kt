package toucanrelay.store.bundle

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.store.json.CanonicalJson
import toucanrelay.store.json.CheckedObject
import toucanrelay.store.json.JsonProblems
import toucanrelay.store.json.TextRule

/**
 * A bundle document that an operator signed off as one version.
 *
 * A signed bundle is a claim until [BundleVerifier.verify] accepts it.
 *
 * @property version the version that the signature covers.
 * @property document the document as it was signed.
 * @property signature Ed25519 signature over version and document in base 64.
 * @property keyId name of the operator's key.
 */
public data class SignedBundle(
    public val version: BundleVersion,
    public val document: JsonObject,
    public val signature: String,
    public val keyId: String,
) {
    /** The canonical form of the document. */
    public val canonical: CanonicalJson by lazy { CanonicalJson.of(document) }

    /** What the signature covers: version and document, so that no document can pass for another version. */
    public fun signedContent(): ByteArray = signedContentOf(version, document)

    /** The signed bundle as canonical JSON text. */
    public fun toJson(): String = CanonicalJson.of(toJsonObject()).text

    private fun toJsonObject(): JsonObject =
        JsonObject(
            mapOf(
                KEY_VERSION to JsonPrimitive(version.value),
                KEY_DOCUMENT to document,
                KEY_SIGNATURE to JsonPrimitive(signature),
                KEY_KEY_ID to JsonPrimitive(keyId),
            ),
        )

    public companion object {
        private const val KEY_VERSION = "version"
        private const val KEY_DOCUMENT = "document"
        private const val KEY_SIGNATURE = "signature"
        private const val KEY_KEY_ID = "keyId"
        private val signatureRule = TextRule("the signature in base 64") { it.isNotEmpty() }
        private val keyIdRule = TextRule("the name of a key") { it.isNotEmpty() }

        /** Reads the JSON text of a signed bundle; neither signature nor document is checked. */
        public fun parse(text: String): Result<SignedBundle, BundleError> =
            BundleReader.parseObject(text).andThen { read(it) }

        internal fun signedContentOf(version: BundleVersion, document: JsonObject): ByteArray {
            val content = mapOf(KEY_VERSION to JsonPrimitive(version.value), KEY_DOCUMENT to document)
            return CanonicalJson.of(JsonObject(content)).toBytes()
        }

        private fun read(source: JsonObject): Result<SignedBundle, BundleError> {
            val problems = JsonProblems()
            val root = CheckedObject("", source, problems)
            val version = BundleVersion(root.whole(KEY_VERSION, 1..Long.MAX_VALUE))
            val signature = root.text(KEY_SIGNATURE, signatureRule)
            val keyId = root.text(KEY_KEY_ID, keyIdRule)
            val document = root.rawObject(KEY_DOCUMENT)
            root.finish()
            if (document != null && problems.all.isEmpty()) return Ok(SignedBundle(version, document, signature, keyId))
            return Err(BundleError.Invalid(problems.all.toPersistentList()))
        }
    }
}
