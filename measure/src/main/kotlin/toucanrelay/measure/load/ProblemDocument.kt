package toucanrelay.measure.load

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * The members of a problem document (RFC 9457) that the measurements use.
 *
 * @property type URI that identifies the kind of problem; empty if absent.
 * @property executed whether the request was executed, e.g. `no` or `unknown`; empty if absent.
 */
@Serializable
internal data class ProblemDocument(
    val type: String = "",
    val executed: String = "",
) {
    /** Last segment of [type]. */
    val reason: String
        get() = type.substringAfterLast('/').substringAfterLast(':')

    companion object {
        private val json = Json { ignoreUnknownKeys = true }

        /** Parses [text]; returns an empty document if it is not a problem document. */
        fun parse(text: String): ProblemDocument =
            try {
                json.decodeFromString(text)
            } catch (exception: SerializationException) {
                ProblemDocument()
            }
    }
}
