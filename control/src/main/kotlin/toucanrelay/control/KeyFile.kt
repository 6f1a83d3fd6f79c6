package toucanrelay.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapError
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import toucanrelay.control.report.PublicKeyEntry
import toucanrelay.store.bundle.OperatorKeyPair
import toucanrelay.store.bundle.OperatorPrivateKey
import toucanrelay.store.bundle.OperatorPublicKey
import java.io.IOException
import java.nio.file.FileAlreadyExistsException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.PosixFilePermissions

/** JSON content of an operator's key file: the private and the public key. */
@Serializable
internal data class KeyFile(
    val id: String,
    val ed25519PrivateKeyBase64: String,
    val ed25519PublicKeyBase64: String,
) {
    /** Decodes the key pair. */
    fun toKeyPair(): Result<OperatorKeyPair, ControlError> {
        val privateKey =
            OperatorPrivateKey.ofBase64(id, ed25519PrivateKeyBase64).getOrElse { return Err(refused(it.detail)) }
        return OperatorPublicKey
            .ofBase64(id, ed25519PublicKeyBase64)
            .mapError { refused(it.detail) }
            .andThen { Ok(OperatorKeyPair(privateKey, it)) }
    }

    companion object {
        /** Returns the key file for [pair]. */
        fun of(pair: OperatorKeyPair): KeyFile =
            KeyFile(pair.privateKey.id, pair.privateKey.toBase64(), pair.publicKey.toBase64())

        /** Reads the key pair in [file]. */
        fun load(file: Path): Result<OperatorKeyPair, ControlError> =
            InputFile(file).readText().andThen { decode<KeyFile>(file, it) }.andThen { it.toKeyPair() }

        /** Reads the public keys in [file], a JSON list in the format of the daemon's setting `operatorKeys`. */
        fun loadPublicKeys(file: Path): Result<List<OperatorPublicKey>, ControlError> =
            InputFile(file).readText().andThen { decode<List<PublicKeyEntry>>(file, it) }.andThen { entries ->
                Ok(
                    entries.map { entry ->
                        OperatorPublicKey
                            .ofBase64(entry.id, entry.ed25519PublicKeyBase64)
                            .getOrElse { return Err(refused("$file: ${it.detail}")) }
                    },
                )
            }

        private inline fun <reified T> decode(file: Path, text: String): Result<T, ControlError> =
            try {
                Ok(Json.decodeFromString<T>(text))
            } catch (malformed: SerializationException) {
                Err(refused("$file: ${malformed.message?.lineSequence()?.first()}"))
            }

        private fun refused(detail: String) = ControlError.Refused(detail)
    }

    /** Writes the key pair to the new [file], readable by its owner only; fails if the file exists. */
    fun save(file: Path): Result<Unit, ControlError> =
        try {
            val ownerOnly = PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------"))
            Files.createFile(file, ownerOnly)
            Files.writeString(file, Json.encodeToString(serializer(), this) + "\n")
            Ok(Unit)
        } catch (existing: FileAlreadyExistsException) {
            Err(ControlError.Refused("$file already exists"))
        } catch (failure: IOException) {
            Err(ControlError.Refused("$file cannot be written: ${failure.javaClass.simpleName}"))
        }
}
