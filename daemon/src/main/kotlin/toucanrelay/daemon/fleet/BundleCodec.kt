package toucanrelay.daemon.fleet

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapError
import com.google.protobuf.ByteString
import kotlinx.serialization.json.JsonObject
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.store.bundle.BundlePatch
import toucanrelay.store.bundle.SignedBundle
import toucanrelay.wire.BundleUpdate
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.Base64
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** Why no signed bundle could be decoded from a peer's update. */
internal sealed interface BundleUpdateError {
    /** Description for logs. */
    val detail: String

    /** The document cannot be decompressed or parsed. */
    data class Unreadable(
        override val detail: String,
    ) : BundleUpdateError

    /** The patch is based on a version that this process does not hold. */
    data class UnknownBase(
        val base: BundleVersion,
    ) : BundleUpdateError {
        override val detail: String
            get() = "the patch is based on version $base, which this process does not hold"
    }
}

/** Encodes signed bundles as update messages and decodes them. */
internal object BundleCodec {
    private const val MAX_DOCUMENT_BYTES = 64 * 1024 * 1024

    /** Returns an update with the whole [bundle]. */
    fun whole(bundle: SignedBundle): BundleUpdate = update(bundle, base = 0, document = bundle.canonical.toBytes())

    /** Returns an update with the changes from [base] to [bundle]. */
    fun patch(base: SignedBundle, bundle: SignedBundle): BundleUpdate =
        update(bundle, base = base.version.value, document = BundlePatch.between(base, bundle).patchBytes())

    /** Decodes the signed bundle in [update]; [findHeld] returns the base of a patch. */
    fun read(
        update: BundleUpdate,
        findHeld: (BundleVersion) -> SignedBundle?,
    ): Result<SignedBundle, BundleUpdateError> {
        val document = readDocument(update).getOrElse { return Err(it) }
        val version = BundleVersion(update.version)
        val signature = Base64.getEncoder().encodeToString(update.signature.toByteArray())
        if (update.baseVersion == 0L) return Ok(SignedBundle(version, document, signature, update.keyId))
        val base = BundleVersion(update.baseVersion)
        val held = findHeld(base) ?: return Err(BundleUpdateError.UnknownBase(base))
        return Ok(BundlePatch(base, version, document, signature, update.keyId).applyTo(held))
    }

    private fun update(bundle: SignedBundle, base: Long, document: ByteArray): BundleUpdate =
        BundleUpdate
            .newBuilder()
            .setVersion(bundle.version.value)
            .setBaseVersion(base)
            .setDocument(compress(document))
            .setSignature(ByteString.copyFrom(Base64.getDecoder().decode(bundle.signature)))
            .setKeyId(bundle.keyId)
            .build()

    private fun readDocument(update: BundleUpdate): Result<JsonObject, BundleUpdateError> {
        val text =
            try {
                decompress(update.document)
            } catch (malformed: IOException) {
                return Err(BundleUpdateError.Unreadable("cannot be decompressed with gzip: ${malformed.message}"))
            }
        return BundlePatch.parsePatch(text).mapError { BundleUpdateError.Unreadable(it.detail) }
    }

    private fun compress(bytes: ByteArray): ByteString {
        val compressed = ByteArrayOutputStream()
        GZIPOutputStream(compressed).use { it.write(bytes) }
        return ByteString.copyFrom(compressed.toByteArray())
    }

    private fun decompress(bytes: ByteString): String =
        GZIPInputStream(bytes.newInput()).use { stream ->
            val document = stream.readNBytes(MAX_DOCUMENT_BYTES + 1)
            if (document.size > MAX_DOCUMENT_BYTES) throw IOException("more than $MAX_DOCUMENT_BYTES bytes")
            document.toString(Charsets.UTF_8)
        }
}
