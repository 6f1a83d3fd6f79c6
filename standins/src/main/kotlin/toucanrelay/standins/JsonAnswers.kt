package toucanrelay.standins

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerResponse
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** JSON format of the stand-ins; unknown members are ignored. */
internal val standInJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
        explicitNulls = false
    }

/**
 * Body of an error response.
 *
 * @property error description of the error.
 */
@Serializable
internal data class ErrorAnswer(
    val error: String,
)

/** Ends the response with [value] as its JSON body. */
internal inline fun <reified T> HttpServerResponse.endWithJson(value: T, status: Int = 200) {
    setStatusCode(status)
    putHeader("Content-Type", "application/json")
    end(Buffer.buffer(standInJson.encodeToString(value)))
}

/** Ends the response with an [ErrorAnswer]. */
internal fun HttpServerResponse.endWithError(status: Int, error: String) = endWithJson(ErrorAnswer(error), status)
