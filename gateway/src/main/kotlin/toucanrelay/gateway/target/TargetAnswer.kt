package toucanrelay.gateway.target

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.channels.ReceiveChannel
import toucanrelay.platform.TargetHeaders

/** A part of the body of a target's answer. */
internal sealed interface BodyPart {
    /** Bytes of the body. */
    class Bytes(
        val buffer: Buffer,
    ) : BodyPart

    /** The body is whole. */
    data object End : BodyPart

    /** The connection failed before the body was whole. */
    data class Broken(
        val detail: String,
    ) : BodyPart
}

/** The beginning of a target's answer, and its body as it comes. */
internal class TargetAnswer(
    val status: Int,
    val headers: MultiMap,
    val described: TargetHeaders,
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

/** Why a target gave no answer. */
internal sealed class TargetFailure(
    message: String,
) : Exception(message) {
    /** No connection could be made, so nothing was sent. */
    class NotSent(
        message: String,
    ) : TargetFailure(message)

    /** The request was sent, and the connection failed before an answer came. */
    class Broken(
        message: String,
    ) : TargetFailure(message)
}
