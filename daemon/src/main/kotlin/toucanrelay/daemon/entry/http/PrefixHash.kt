package toucanrelay.daemon.entry.http

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.nio.ByteBuffer
import java.security.MessageDigest

/** Hashes the start of a prompt in the same way as engines key the entries of their prefix caches. */
internal object PrefixHash {
    /** Number of characters at the start of the prompt that the hash covers. */
    private const val PREFIX_CHARACTERS = 256

    /** Returns the first eight bytes, big-endian, of the SHA-256 of the start of all contents joined by line feeds. */
    fun of(messages: JsonArray): Long {
        val prefix = messages.joinToString("\n", transform = ::contentOf).take(PREFIX_CHARACTERS)
        return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(prefix.encodeToByteArray())).long
    }

    private fun contentOf(message: JsonElement): String =
        when (val content = (message as? JsonObject)?.get("content")) {
            is JsonPrimitive -> {
                content.content
            }

            is JsonArray -> {
                content.joinToString(
                    "\n",
                ) { ((it as? JsonObject)?.get("text") as? JsonPrimitive)?.content.orEmpty() }
            }

            else -> {
                ""
            }
        }
}
