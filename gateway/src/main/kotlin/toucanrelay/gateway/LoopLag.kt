package toucanrelay.gateway

import toucanrelay.core.time.Clock

/**
 * Measures how far the event loop is behind, from a periodic timer that is late by as much.
 *
 * What callers send waits unread for about as long.
 */
internal class LoopLag(
    private val clock: Clock,
) {
    private var notedAtMilliseconds = clock.nowMilliseconds()
    private var largest = 0L
    private var largestAtMilliseconds = notedAtMilliseconds

    /** How far the loop was behind at most, lately. */
    val milliseconds: Long
        get() = if (clock.nowMilliseconds() - largestAtMilliseconds <= MEMORY_MILLISECONDS) largest else 0

    /** Whether requests have waited unread for so long that others should take them. */
    val isOverloaded: Boolean
        get() = milliseconds >= OVERLOADED_MILLISECONDS

    /** Called by a timer each [PERIOD_MILLISECONDS]. */
    fun note() {
        val now = clock.nowMilliseconds()
        val lag = maxOf(0, now - notedAtMilliseconds - PERIOD_MILLISECONDS)
        notedAtMilliseconds = now
        if (lag < milliseconds) return
        largest = lag
        largestAtMilliseconds = now
    }

    internal companion object {
        /** Period of the timer. */
        const val PERIOD_MILLISECONDS = 50L
        private const val MEMORY_MILLISECONDS = 400L
        private const val OVERLOADED_MILLISECONDS = 400L
    }
}
