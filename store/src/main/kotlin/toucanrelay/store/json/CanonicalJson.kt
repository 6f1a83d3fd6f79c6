package toucanrelay.store.json

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/**
 * JSON text with sorted keys and without white space; equal documents have equal text.
 *
 * Numbers stand as they were written, so that a document passed on as a patch keeps its signature.
 *
 * @property text the canonical text.
 */
@JvmInline
public value class CanonicalJson private constructor(
    public val text: String,
) {
    /** The text in UTF-8. */
    public fun toBytes(): ByteArray = text.toByteArray(Charsets.UTF_8)

    override fun toString(): String = text

    public companion object {
        /** The canonical form of [element]. */
        public fun of(element: JsonElement): CanonicalJson = CanonicalJson(sorted(element).toString())

        private fun sorted(element: JsonElement): JsonElement =
            when (element) {
                is JsonObject -> JsonObject(element.toSortedMap().mapValues { sorted(it.value) })
                is JsonArray -> JsonArray(element.map { sorted(it) })
                else -> element
            }
    }
}
