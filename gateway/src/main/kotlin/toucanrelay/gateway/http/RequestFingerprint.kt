package toucanrelay.gateway.http

import io.vertx.core.buffer.Buffer
import toucanrelay.core.identity.StableHash
import java.util.HexFormat
import java.util.zip.CRC32
import java.util.zip.CRC32C
import java.util.zip.Checksum

/**
 * Identifies a request that its caller repeats under new ids, with the same method, path and body.
 *
 * Checksums suffice, since a caller that makes two requests collide affects no other caller. They are computed for each
 * request, so they have to be cheap.
 */
internal object RequestFingerprint {
    /** Returns the fingerprint of a request of [account] with [method], [host], [uri] and [body]. */
    fun of(
        account: String,
        method: String,
        host: String,
        uri: String,
        body: Buffer,
    ): String {
        val bytes = body.bytes
        val hexadecimal = HexFormat.of()
        return hexadecimal.toHexDigits(StableHash.of("$account $method $host $uri")) +
            hexadecimal.toHexDigits(checksum(CRC32(), bytes)) +
            hexadecimal.toHexDigits(checksum(CRC32C(), bytes))
    }

    private fun checksum(algorithm: Checksum, bytes: ByteArray): Int {
        algorithm.update(bytes, 0, bytes.size)
        return algorithm.value.toInt()
    }
}
