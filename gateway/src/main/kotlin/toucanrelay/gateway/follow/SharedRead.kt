package toucanrelay.gateway.follow

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async

/**
 * Shares reads between those that wait for one at the same time; confined to the event loop.
 *
 * Each gets the result of a read that began after it asked, and at most one read runs at a time.
 *
 * @param scope in which the reads run, so that they go on although one that waits is cancelled.
 */
internal class SharedRead(
    private val scope: CoroutineScope,
    private val read: suspend () -> Boolean,
) {
    /** The newest read that has begun. */
    private var running: Deferred<Boolean>? = null

    /** The read that has not begun yet; null if nobody waits for one. */
    private var next: Deferred<Boolean>? = null

    /** Returns the result of a read that begins after the call. */
    suspend fun await(): Boolean = (next ?: prepare().also { next = it }).await()

    private fun prepare(): Deferred<Boolean> {
        val previous = running
        return scope.async {
            previous?.join()
            running = next
            next = null
            read()
        }
    }
}
