package toucanrelay.gateway

import toucanrelay.core.time.Clock

/** Tells whether the process is shutting down, and how much time it has left; begun on the event loop. */
internal class Shutdown(
    private val clock: Clock,
) {
    @Volatile
    private var endsAtMilliseconds: Long? = null

    /** Whether the process is shutting down. */
    val hasBegun: Boolean
        get() = endsAtMilliseconds != null

    /** Time until the requests in progress are ended; null unless the process is shutting down. */
    val remainingMilliseconds: Long?
        get() = endsAtMilliseconds?.let { maxOf(0, it - clock.nowMilliseconds()) }

    /** Records that the process is shutting down and ends its requests in [milliseconds] at the latest. */
    fun begin(milliseconds: Long) {
        endsAtMilliseconds = clock.nowMilliseconds() + milliseconds
    }
}
