package toucanrelay.gateway.http

import io.vertx.core.buffer.Buffer

/** Complete lines of an event stream. */
internal sealed interface StreamPart {
    /** The lines, with the blank line that ends them. */
    val bytes: Buffer
}

/**
 * A complete server-sent event: lines of which one has data or an id.
 *
 * @property id null if the event has no numeric id.
 */
internal class ServerSentEvent(
    val id: Long?,
    override val bytes: Buffer,
) : StreamPart

/** Lines between two events that are part of neither, such as blank lines and comments. */
internal class StreamFiller(
    override val bytes: Buffer,
) : StreamPart
