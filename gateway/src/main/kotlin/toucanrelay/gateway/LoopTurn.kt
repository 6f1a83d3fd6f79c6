package toucanrelay.gateway

import io.netty.channel.SingleThreadEventLoop
import io.vertx.core.Vertx
import io.vertx.core.internal.ContextInternal
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume

/**
 * Waits until the event loop has read what has arrived on all connections.
 *
 * A timer does not do: after a pause the loop runs timers that are due before it reads again.
 */
internal class LoopTurn(
    vertx: Vertx,
) {
    private val loop = (vertx.orCreateContext as ContextInternal).nettyEventLoop() as SingleThreadEventLoop

    /** Suspends until the event loop has read from its connections once more; to be called on the event loop. */
    suspend fun await(): Unit =
        suspendCancellableCoroutine { continuation ->
            runAfter { continuation.resume(Unit) }
        }

    /** Runs [action] once the event loop has read from its connections once more; to be called on the event loop. */
    fun runAfter(action: () -> Unit) {
        // A task that is added at the end of an iteration runs after the reads of the next one.
        loop.executeAfterEventLoopIteration { loop.execute(action) }
    }
}
