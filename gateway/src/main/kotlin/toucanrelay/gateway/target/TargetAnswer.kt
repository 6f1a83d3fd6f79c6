package toucanrelay.gateway.target

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.channels.ReceiveChannel
import toucanrelay.platform.TargetHeaders

/** A part of the body of a target's answer, or its end. */
internal sealed interface BodyPart {
    /** Bytes of the body. */
    class Bytes(
        val buffer: Buffer,
    ) : BodyPart

    /** The body is complete. */
    data object End : BodyPart

    /** The connection failed before the body was complete. */
    data class Broken(
        val detail: String,
    ) : BodyPart
}

/** The status and headers of a target's answer, and its body as it arrives. */
internal class TargetAnswer(
    val status: Int,
    val headers: MultiMap,
    val parsedHeaders: TargetHeaders,
    val body: ReceiveChannel<BodyPart>,
) {
    /** Whether the target reports success. */
    val isSuccess: Boolean
        get() = status in FIRST_SUCCESS..LAST_SUCCESS

    private companion object {
        const val FIRST_SUCCESS = 200
        const val LAST_SUCCESS = 299
    }
}

/** Failure to get an answer from a target. */
internal sealed class TargetFailure(
    message: String,
) : Exception(message) {
    /** No connection could be established, so nothing was sent. */
    class NotSent(
        message: String,
    ) : TargetFailure(message)

    /** The connection failed after the request may have been sent and before an answer arrived. */
    class Broken(
        message: String,
    ) : TargetFailure(message)
}
