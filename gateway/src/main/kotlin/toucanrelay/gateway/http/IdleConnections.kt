package toucanrelay.gateway.http

import toucanrelay.core.time.Clock

/**
 * Limits the number of open connections by closing those that have been idle for the longest time.
 *
 * Callers that retry on new connections leave the old ones open. Without a limit these use up the process's descriptors,
 * and it can accept no connection any more.
 *
 * @param maxOpen number of open connections above which idle ones are closed.
 * @param close closes a connection.
 */
internal class IdleConnections<T>(
    private val clock: Clock,
    private val maxOpen: Int,
    private val close: (T) -> Unit,
) {
    private val openConnections = HashSet<T>()
    private val idleSinceMilliseconds = LinkedHashMap<T, Long>()
    private val requestsInProgress = HashMap<T, Int>()

    /** Number of open connections. */
    val open: Int
        get() = openConnections.size

    /** Number of connections that were closed because there were too many. */
    var closed: Long = 0
        private set

    /** Records that [connection] was opened, and closes the connection that has been idle for longest if needed. */
    fun recordOpened(connection: T) {
        if (openConnections.size >= maxOpen) closeLongestIdle()
        openConnections += connection
        idleSinceMilliseconds[connection] = clock.nowMilliseconds()
    }

    /** Records that a request has arrived on [connection]. */
    fun recordRequest(connection: T) {
        if (connection !in openConnections) return
        idleSinceMilliseconds -= connection
        requestsInProgress.merge(connection, 1, Int::plus)
    }

    /** Records that a request on [connection] was read completely and has ended. */
    fun recordEnded(connection: T) {
        val remaining = (requestsInProgress[connection] ?: return) - 1
        if (remaining > 0) {
            requestsInProgress[connection] = remaining
        } else {
            requestsInProgress -= connection
            idleSinceMilliseconds[connection] = clock.nowMilliseconds()
        }
    }

    /** Records that [connection] was closed. */
    fun recordClosed(connection: T) {
        openConnections -= connection
        idleSinceMilliseconds -= connection
        requestsInProgress -= connection
    }

    /** Removes the connections that have been idle since [milliseconds] or longer, and returns them. */
    fun removeIdleSince(milliseconds: Long): List<T> {
        val expired = idleSinceMilliseconds.entries.takeWhile { it.value <= milliseconds }.map { it.key }
        expired.forEach { recordClosed(it) }
        return expired
    }

    private fun closeLongestIdle() {
        val longest = idleSinceMilliseconds.keys.firstOrNull() ?: return
        recordClosed(longest)
        closed++
        close(longest)
    }
}
