package toucanrelay.gateway.body

import io.vertx.core.buffer.Buffer

/** A part of the body of a message, or its end. */
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
