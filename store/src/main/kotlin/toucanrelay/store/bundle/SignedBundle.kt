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
import toucanrelay.store.json.JsonObjectReader
import toucanrelay.store.json.JsonProblems
import toucanrelay.store.json.StringRule

/**
 * A version of a bundle document with an operator's signature.
 *
 * The content is untrusted until [BundleVerifier.verify] accepts it.
 *
 * @property version the version of the document.
 * @property document the document as signed.
 * @property signature Ed25519 signature of version and document in base 64.
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

    /** Returns the signed bytes; they include the version, so that the signature is not valid for another version. */
    public fun signedContent(): ByteArray = signedContentOf(version, document)

    /** Returns the signed bundle as canonical JSON text. */
    public fun toJson(): String = CanonicalJson.of(toJsonObject()).text

    private fun toJsonObject(): JsonObject =
        JsonObject(
            mapOf(
                FIELD_VERSION to JsonPrimitive(version.value),
                FIELD_DOCUMENT to document,
                FIELD_SIGNATURE to JsonPrimitive(signature),
                FIELD_KEY_ID to JsonPrimitive(keyId),
            ),
        )

    public companion object {
        private const val FIELD_VERSION = "version"
        private const val FIELD_DOCUMENT = "document"
        private const val FIELD_SIGNATURE = "signature"
        private const val FIELD_KEY_ID = "keyId"
        private val signatureRule = StringRule("the signature in base 64") { it.isNotEmpty() }
        private val keyIdRule = StringRule("the name of a key") { it.isNotEmpty() }

        /** Parses the JSON text of a signed bundle; checks neither the signature nor the document. */
        public fun parse(text: String): Result<SignedBundle, BundleError> =
            BundleReader.parseObject(text).andThen { read(it) }

        internal fun signedContentOf(version: BundleVersion, document: JsonObject): ByteArray {
            val content = mapOf(FIELD_VERSION to JsonPrimitive(version.value), FIELD_DOCUMENT to document)
            return CanonicalJson.of(JsonObject(content)).toBytes()
        }

        private fun read(source: JsonObject): Result<SignedBundle, BundleError> {
            val problems = JsonProblems()
            val root = JsonObjectReader("", source, problems)
            val version = BundleVersion(root.integer(FIELD_VERSION, 1..Long.MAX_VALUE))
            val signature = root.string(FIELD_SIGNATURE, signatureRule)
            val keyId = root.string(FIELD_KEY_ID, keyIdRule)
            val document = root.rawObject(FIELD_DOCUMENT)
            root.reportUnknownKeys()
            if (document != null && problems.all.isEmpty()) return Ok(SignedBundle(version, document, signature, keyId))
            return Err(BundleError.Invalid(problems.all.toPersistentList()))
        }
    }
}
