package toucanrelay.daemon.settings

import com.github.michaelbull.result.getOrElse
import toucanrelay.store.bundle.OperatorPublicKey

/**
 * Decodes the operators' public keys.
 *
 * @throws IllegalArgumentException if a key cannot be decoded; [SettingsLoader] rejects settings with such a key.
 */
public fun DaemonSettings.publicKeys(): List<OperatorPublicKey> =
    operatorKeys.map { key ->
        OperatorPublicKey
            .ofBase64(key.id, key.ed25519PublicKey)
            .getOrElse { throw IllegalArgumentException("operator key \"${key.id}\": ${it.detail}") }
    }
