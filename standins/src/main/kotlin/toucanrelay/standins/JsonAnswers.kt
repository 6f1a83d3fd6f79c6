package toucanrelay.standins

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerResponse
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Reads and writes the stand-ins' JSON; members that a stand-in does not know are ignored. */
internal val standInJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
        explicitNulls = false
    }

/**
 * Body of an answer that is not a success.
 *
 * @property error what was wrong.
 */
@Serializable
internal data class ErrorAnswer(
    val error: String,
)

/** Ends the response with [value] as JSON. */
internal inline fun <reified T> HttpServerResponse.endWithJson(value: T, status: Int = 200) {
    setStatusCode(status)
    putHeader("Content-Type", "application/json")
    end(Buffer.buffer(standInJson.encodeToString(value)))
}

/** Ends the response with an [ErrorAnswer]. */
internal fun HttpServerResponse.endWithError(status: Int, error: String) = endWithJson(ErrorAnswer(error), status)
