package toucanrelay.store.bundle

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.security.GeneralSecurityException
import java.security.KeyFactory
import java.security.KeyPairGenerator
import java.security.PrivateKey
import java.security.PublicKey
import java.security.spec.PKCS8EncodedKeySpec
import java.security.spec.X509EncodedKeySpec
import java.util.Base64

internal const val ED25519: String = "Ed25519"

/** Why a key cannot be used. */
public data class KeyError(
    public val detail: String,
)

/**
 * A private key with which an operator signs bundles.
 *
 * @property id name of the key, as it stands beside a signature.
 * @property key the Ed25519 key.
 */
public class OperatorPrivateKey(
    public val id: String,
    internal val key: PrivateKey,
) {
    /** PKCS #8 encoding in base 64. */
    public fun toBase64(): String = Base64.getEncoder().encodeToString(key.encoded)

    public companion object {
        /** Reads a key from its PKCS #8 encoding in base 64. */
        public fun ofBase64(id: String, encoded: String): Result<OperatorPrivateKey, KeyError> =
            decoding("private") {
                val specification = PKCS8EncodedKeySpec(Base64.getDecoder().decode(encoded))
                OperatorPrivateKey(id, KeyFactory.getInstance(ED25519).generatePrivate(specification))
            }
    }
}

/**
 * A public key whose signatures are accepted.
 *
 * @property id name of the key, as it stands beside a signature.
 * @property key the Ed25519 key.
 */
public class OperatorPublicKey(
    public val id: String,
    internal val key: PublicKey,
) {
    /** X.509 encoding in base 64. */
    public fun toBase64(): String = Base64.getEncoder().encodeToString(key.encoded)

    public companion object {
        /** Reads a key from its X.509 encoding in base 64. */
        public fun ofBase64(id: String, encoded: String): Result<OperatorPublicKey, KeyError> =
            decoding("public") {
                val specification = X509EncodedKeySpec(Base64.getDecoder().decode(encoded))
                OperatorPublicKey(id, KeyFactory.getInstance(ED25519).generatePublic(specification))
            }
    }
}

/**
 * Both halves of an operator's key.
 *
 * @property privateKey signs; stays with the operator.
 * @property publicKey verifies; stands in the settings of every daemon.
 */
public class OperatorKeyPair(
    public val privateKey: OperatorPrivateKey,
    public val publicKey: OperatorPublicKey,
) {
    public companion object {
        /** Makes a new key named [id]. */
        public fun generate(id: String): OperatorKeyPair {
            val pair = KeyPairGenerator.getInstance(ED25519).generateKeyPair()
            return OperatorKeyPair(OperatorPrivateKey(id, pair.private), OperatorPublicKey(id, pair.public))
        }
    }
}

private fun <T> decoding(kind: String, decode: () -> T): Result<T, KeyError> =
    try {
        Ok(decode())
    } catch (malformed: IllegalArgumentException) {
        Err(KeyError("the $kind key is not base 64: ${malformed.message}"))
    } catch (malformed: GeneralSecurityException) {
        Err(KeyError("not an Ed25519 $kind key: ${malformed.message}"))
    }
