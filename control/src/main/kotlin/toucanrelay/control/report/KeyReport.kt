package toucanrelay.control.report

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** A public key in the form of the daemon's setting `operatorKeys`. */
@Serializable
internal data class PublicKeyEntry(
    val id: String,
    val ed25519PublicKeyBase64: String,
)

/** A new key: what goes into the settings of every daemon. */
internal class KeyReport(
    private val key: PublicKeyEntry,
) : Report {
    override fun toLines(): List<String> = listOf(Json.encodeToString(PublicKeyEntry.serializer(), key))

    override fun toJson(): JsonElement = Json.encodeToJsonElement(PublicKeyEntry.serializer(), key)
}
