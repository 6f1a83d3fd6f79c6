package toucanrelay.daemon.fleet

import com.google.protobuf.ByteString
import toucanrelay.platform.bundle.SignedBundle
import toucanrelay.wire.BundleUpdate
import java.io.ByteArrayOutputStream
import java.util.Base64
import java.util.zip.GZIPOutputStream

/** The message that carries this bundle whole. */
internal fun SignedBundle.toUpdate(): BundleUpdate =
    BundleUpdate
        .newBuilder()
        .setVersion(version.value)
        .setDocument(ByteString.copyFrom(compressed(canonical.toBytes())))
        .setSignature(ByteString.copyFrom(Base64.getDecoder().decode(signature)))
        .setKeyId(keyId)
        .build()

private fun compressed(bytes: ByteArray): ByteArray {
    val target = ByteArrayOutputStream()
    GZIPOutputStream(target).use { it.write(bytes) }
    return target.toByteArray()
}
