package toucanrelay.daemon.settings

import com.github.michaelbull.result.getOrElse
import toucanrelay.store.bundle.OperatorPublicKey

/**
 * The operators' keys, decoded.
 *
 * @throws IllegalArgumentException when a key cannot be decoded; settings from [SettingsLoader] hold no such key.
 */
public fun DaemonSettings.publicKeys(): List<OperatorPublicKey> =
    operatorKeys.map { key ->
        OperatorPublicKey
            .ofBase64(key.id, key.ed25519PublicKey)
            .getOrElse { throw IllegalArgumentException("operator key ${key.id}: ${it.detail}") }
    }
