package toucanrelay.measure.load

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * The members of a problem document (RFC 9457) that a caller acts on.
 *
 * @property type stable name of the problem.
 * @property executed whether the request may have run.
 */
@Serializable
internal data class ProblemDocument(
    val type: String = "",
    val executed: String = "",
) {
    /** Last part of [type]. */
    val reason: String
        get() = type.substringAfterLast('/').substringAfterLast(':')

    companion object {
        private val json = Json { ignoreUnknownKeys = true }

        /** Reads [text]; an empty document when it is none. */
        fun parse(text: String): ProblemDocument =
            try {
                json.decodeFromString(text)
            } catch (exception: SerializationException) {
                ProblemDocument()
            }
    }
}
