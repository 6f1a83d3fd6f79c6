package toucanrelay.gateway.target

import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.channels.Channel

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

/**
 * Queues the body of a target's answer as it arrives; confined to the event loop.
 *
 * While its reader is slower than the target, reading from the connection is paused, so that the queue stays bounded.
 *
 * @param pause stops reading from the connection.
 * @param resume continues it.
 */
internal class AnswerBody(
    private val pause: () -> Unit,
    private val resume: () -> Unit,
) {
    private val parts = Channel<BodyPart>(Channel.UNLIMITED)
    private var queuedBytes = 0

    /** Whether reading from the connection is paused. */
    var isPaused: Boolean = false
        private set

    /** Queues [part], which has arrived. */
    fun add(part: BodyPart) {
        parts.trySend(part)
        if (part is BodyPart.Bytes) queuedBytes += part.buffer.length()
        if (queuedBytes <= MAX_QUEUED_BYTES || isPaused) return
        isPaused = true
        pause()
    }

    /** Removes the next part; suspends until there is one. No part follows [BodyPart.End] or [BodyPart.Broken]. */
    suspend fun next(): BodyPart {
        val part = parts.receive()
        if (part is BodyPart.Bytes) queuedBytes -= part.buffer.length()
        if (isPaused && queuedBytes <= MAX_QUEUED_BYTES / 2) {
            isPaused = false
            resume()
        }
        return part
    }

    private companion object {
        const val MAX_QUEUED_BYTES = 256 * 1_024
    }
}
