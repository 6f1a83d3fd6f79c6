package toucanrelay.gateway.body

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume

/**
 * Lets one waiting reader of a body continue in each turn of the event loop, in the order in which they began to wait.
 *
 * However many bodies arrive faster than they are handled, they take a bounded part of each turn together; the rest of it
 * belongs to all other connections and timers. Confined to the event loop.
 *
 * @param runAfterTurn runs an action once the event loop has read from its connections once more.
 */
internal class TurnQueue(
    private val runAfterTurn: (action: () -> Unit) -> Unit,
) {
    private val waiting = ArrayDeque<CancellableContinuation<Unit>>()
    private var isScheduled = false

    /** Suspends until it is this reader's turn. */
    suspend fun await() {
        suspendCancellableCoroutine { continuation ->
            waiting.addLast(continuation)
            if (!isScheduled) schedule()
        }
    }

    private fun schedule() {
        isScheduled = true
        runAfterTurn {
            resumeNext()
            if (waiting.isEmpty()) isScheduled = false else schedule()
        }
    }

    /** Resumes the reader that has waited for longest; those that were cancelled meanwhile take no turn. */
    private fun resumeNext() {
        while (waiting.isNotEmpty()) {
            val next = waiting.removeFirst()
            if (next.isActive) return next.resume(Unit)
        }
    }
}
