package toucanrelay.gateway.body

import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume

/**
 * Queues the body of a message as it arrives; confined to the event loop.
 *
 * What arrives in small pieces is joined, so that neither the memory nor the work of the reader depends on how the sender
 * has divided it. Once more has arrived than is handled in one turn of the event loop, reading from the connection is
 * paused, and continues when [turns] lets the reader continue.
 *
 * @param pause stops reading from the connection.
 * @param resume continues it.
 */
internal class IncomingBody(
    private val pause: () -> Unit,
    private val resume: () -> Unit,
    private val turns: TurnQueue,
) {
    private var queued = Buffer.buffer()
    private var end: BodyPart? = null
    private var reader: CancellableContinuation<Unit>? = null

    /** Cost of what has arrived since the reader last took something, in bytes. */
    private var arrivedCostBytes = 0

    /** Whether reading from the connection is paused. */
    var isPaused: Boolean = false
        private set

    /** Queues [part], which has arrived; no part follows [BodyPart.End] or [BodyPart.Broken]. */
    fun add(part: BodyPart) {
        if (part is BodyPart.Bytes) addBytes(part.buffer) else end = part
        reader?.let {
            reader = null
            it.resume(Unit)
        }
    }

    private fun addBytes(bytes: Buffer) {
        queued.appendBuffer(bytes)
        arrivedCostBytes += bytes.length() + PIECE_COST_BYTES
        if (isPaused || arrivedCostBytes <= MAX_COST_IN_TURN_BYTES) return
        isPaused = true
        pause()
    }

    /** Removes all bytes that have arrived, or the end; suspends until there is either. */
    suspend fun next(): BodyPart {
        if (isPaused) turns.await()
        while (queued.length() == 0) {
            end?.let { return it }
            suspendCancellableCoroutine { reader = it }
        }
        val taken = queued
        queued = Buffer.buffer()
        continueReading()
        return BodyPart.Bytes(taken)
    }

    private fun continueReading() {
        arrivedCostBytes = 0
        if (!isPaused) return
        isPaused = false
        resume()
    }

    private companion object {
        /** What one piece costs beside its bytes: the objects of the decoder, and the calls that pass it on. */
        const val PIECE_COST_BYTES = 64
        const val MAX_COST_IN_TURN_BYTES = 16_384
    }
}
