package toucanrelay.store.json

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/**
 * JSON text with sorted keys and without whitespace; equal documents have equal text.
 *
 * Numbers keep their original spelling, so that a signature stays valid when its document is rebuilt from a patch.
 *
 * @property text the canonical text.
 */
@JvmInline
public value class CanonicalJson private constructor(
    public val text: String,
) {
    /** Returns the text encoded in UTF-8. */
    public fun toBytes(): ByteArray = text.toByteArray(Charsets.UTF_8)

    override fun toString(): String = text

    public companion object {
        /** Returns the canonical form of [element]. */
        public fun of(element: JsonElement): CanonicalJson = CanonicalJson(sorted(element).toString())

        private fun sorted(element: JsonElement): JsonElement =
            when (element) {
                is JsonObject -> JsonObject(element.toSortedMap().mapValues { sorted(it.value) })
                is JsonArray -> JsonArray(element.map { sorted(it) })
                else -> element
            }
    }
}
