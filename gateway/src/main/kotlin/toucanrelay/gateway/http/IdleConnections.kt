package toucanrelay.gateway.http

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
    private val maxOpen: Int,
    private val close: (T) -> Unit,
) {
    private val openConnections = HashSet<T>()
    private val idle = LinkedHashSet<T>()

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
        idle += connection
    }

    /** Records that a request has arrived on [connection]. */
    fun recordRequest(connection: T) {
        idle -= connection
    }

    /** Records that the last request on [connection] has ended. */
    fun recordIdle(connection: T) {
        if (connection in openConnections) idle += connection
    }

    /** Records that [connection] was closed. */
    fun recordClosed(connection: T) {
        openConnections -= connection
        idle -= connection
    }

    private fun closeLongestIdle() {
        val longest = idle.firstOrNull() ?: return
        recordClosed(longest)
        closed++
        close(longest)
    }
}
