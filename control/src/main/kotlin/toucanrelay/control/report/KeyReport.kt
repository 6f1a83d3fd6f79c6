package toucanrelay.control.report

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** Public key in the format of the daemon's setting `operatorKeys`. */
@Serializable
internal data class PublicKeyEntry(
    val id: String,
    val ed25519PublicKeyBase64: String,
)

/** Public half of a new key, for the settings of every daemon. */
internal class KeyReport(
    private val key: PublicKeyEntry,
) : Report {
    override fun toLines(): List<String> = listOf(Json.encodeToString(PublicKeyEntry.serializer(), key))

    override fun toJson(): JsonElement = Json.encodeToJsonElement(PublicKeyEntry.serializer(), key)
}
