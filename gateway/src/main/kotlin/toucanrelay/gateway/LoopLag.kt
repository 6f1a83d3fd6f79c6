package toucanrelay.gateway

import toucanrelay.core.time.Clock

/**
 * Measures how far the event loop is behind, from a periodic timer that is late by as much.
 *
 * What callers send waits unread for about as long, and a request takes several turns of the loop.
 *
 * @param overloadedMilliseconds the lag from which on the process is overloaded.
 */
internal class LoopLag(
    private val clock: Clock,
    private val overloadedMilliseconds: Double = OVERLOADED_MILLISECONDS,
) {
    private var notedAtMilliseconds = clock.nowMilliseconds()
    private var smoothed = 0.0

    /** How far the loop is behind, lately. */
    val milliseconds: Long
        get() = smoothed.toLong()

    /** Whether requests take so long to be read that others should take them. */
    val isOverloaded: Boolean
        get() = smoothed >= overloadedMilliseconds

    /** Called by a timer each [PERIOD_MILLISECONDS]. */
    fun note() {
        val now = clock.nowMilliseconds()
        val elapsed = maxOf(now - notedAtMilliseconds, PERIOD_MILLISECONDS)
        notedAtMilliseconds = now
        val weight = minOf(1.0, elapsed.toDouble() / MEMORY_MILLISECONDS)
        smoothed += (elapsed - PERIOD_MILLISECONDS - smoothed) * weight
    }

    internal companion object {
        /** Period of the timer. */
        const val PERIOD_MILLISECONDS = 50L
        private const val MEMORY_MILLISECONDS = 400.0

        /** Above what a core lags that is given in slices of a tenth of a second. */
        private const val OVERLOADED_MILLISECONDS = 200.0
    }
}
