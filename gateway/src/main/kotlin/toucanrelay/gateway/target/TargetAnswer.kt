package toucanrelay.gateway.target

import io.vertx.core.MultiMap
import toucanrelay.core.http.ResponseStatus
import toucanrelay.gateway.body.IncomingBody
import toucanrelay.platform.TargetHeaders

/** The status and headers of a target's answer, and its body as it arrives. */
internal class TargetAnswer(
    val status: Int,
    val headers: MultiMap,
    val parsedHeaders: TargetHeaders,
    val body: IncomingBody,
) {
    /** Whether the target reports success. */
    val isSuccess: Boolean
        get() = status in FIRST_SUCCESS..LAST_SUCCESS

    /** Whether the status is one that the final answer to a request can have. */
    val isFinal: Boolean
        get() = ResponseStatus.isFinal(status)

    /** Whether the answer says where its body ends, other than by the end of the connection. */
    val isFramed: Boolean
        get() =
            !ResponseStatus.hasBody(status) ||
                headers.contains("Content-Length") ||
                headers.contains("Transfer-Encoding")

    /** Media type of the body in lower case, without parameters; null if the answer has none. */
    val mediaType: String?
        get() =
            headers
                .get("Content-Type")
                ?.substringBefore(';')
                ?.trim()
                ?.lowercase()

    private companion object {
        const val FIRST_SUCCESS = 200
        const val LAST_SUCCESS = 299
    }
}

/** Failure to get an answer from a target. */
internal sealed class TargetFailure(
    message: String,
) : Exception(message) {
    /**
     * No connection could be established, so nothing was sent.
     *
     * @property isRefused whether the target's instance responded that nothing listens at the address.
     */
    class NotSent(
        message: String,
        val isRefused: Boolean = false,
    ) : TargetFailure(message)

    /** The connection failed after the request may have been sent and before an answer arrived. */
    class Broken(
        message: String,
    ) : TargetFailure(message)

    /** The target sent more bytes for [part] of the answer than a valid answer has. */
    class TooLarge(
        val part: AnswerPart,
    ) : TargetFailure(part.tooLargeDetail)
}
