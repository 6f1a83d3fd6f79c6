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

/** Reason why a key could not be decoded. */
public data class KeyError(
    public val detail: String,
)

/**
 * An operator's private key, which signs bundles.
 *
 * @property id name of the key; signed bundles state it as their `keyId`.
 * @property key the Ed25519 key.
 */
public class OperatorPrivateKey(
    public val id: String,
    internal val key: PrivateKey,
) {
    /** Returns the PKCS #8 encoding in base 64. */
    public fun toBase64(): String = Base64.getEncoder().encodeToString(key.encoded)

    public companion object {
        /** Decodes a key from its PKCS #8 encoding in base 64. */
        public fun ofBase64(id: String, encoded: String): Result<OperatorPrivateKey, KeyError> =
            decodeKey("private") {
                val specification = PKCS8EncodedKeySpec(Base64.getDecoder().decode(encoded))
                OperatorPrivateKey(id, KeyFactory.getInstance(ED25519).generatePrivate(specification))
            }
    }
}

/**
 * An operator's public key, which verifies signatures.
 *
 * @property id name of the key; signed bundles state it as their `keyId`.
 * @property key the Ed25519 key.
 */
public class OperatorPublicKey(
    public val id: String,
    internal val key: PublicKey,
) {
    /** Returns the X.509 encoding in base 64. */
    public fun toBase64(): String = Base64.getEncoder().encodeToString(key.encoded)

    public companion object {
        /** Decodes a key from its X.509 encoding in base 64. */
        public fun ofBase64(id: String, encoded: String): Result<OperatorPublicKey, KeyError> =
            decodeKey("public") {
                val specification = X509EncodedKeySpec(Base64.getDecoder().decode(encoded))
                OperatorPublicKey(id, KeyFactory.getInstance(ED25519).generatePublic(specification))
            }
    }
}

/**
 * An operator's key pair.
 *
 * @property privateKey the signing key, which only the operator has.
 * @property publicKey the verification key, which the settings of every daemon list.
 */
public class OperatorKeyPair(
    public val privateKey: OperatorPrivateKey,
    public val publicKey: OperatorPublicKey,
) {
    public companion object {
        /** Generates a key pair named [id]. */
        public fun generate(id: String): OperatorKeyPair {
            val pair = KeyPairGenerator.getInstance(ED25519).generateKeyPair()
            return OperatorKeyPair(OperatorPrivateKey(id, pair.private), OperatorPublicKey(id, pair.public))
        }
    }
}

private fun <T> decodeKey(kind: String, decode: () -> T): Result<T, KeyError> =
    try {
        Ok(decode())
    } catch (malformed: IllegalArgumentException) {
        Err(KeyError("the $kind key is not base 64: ${malformed.message}"))
    } catch (malformed: GeneralSecurityException) {
        Err(KeyError("not an Ed25519 $kind key: ${malformed.message}"))
    }
