package toucanrelay.gateway

import toucanrelay.core.time.Clock

/**
 * Measures the lag of the event loop by how late a periodic timer fires.
 *
 * Data from callers waits about as long before it is read, and a request takes several iterations of the loop.
 *
 * @param overloadThresholdMilliseconds lag at or above which the process is overloaded.
 */
internal class LoopLag(
    private val clock: Clock,
    private val overloadThresholdMilliseconds: Double = DEFAULT_OVERLOAD_THRESHOLD_MILLISECONDS,
) {
    private var lastTickAtMilliseconds = clock.nowMilliseconds()
    private var smoothedMilliseconds = 0.0

    /** Recent lag as an exponential moving average. */
    val milliseconds: Long
        get() = smoothedMilliseconds.toLong()

    /**
     * Returns the lag at [nowMilliseconds]: the recent lag, or the time by which the timer is late already.
     *
     * After a pause the event loop reads what has arrived meanwhile before its timers fire.
     */
    fun millisecondsAt(nowMilliseconds: Long): Long =
        maxOf(milliseconds, nowMilliseconds - lastTickAtMilliseconds - PERIOD_MILLISECONDS)

    /** Whether the lag is so long that other processes should serve new requests. */
    val isOverloaded: Boolean
        get() = smoothedMilliseconds >= overloadThresholdMilliseconds

    /** Records that the timer fired; to be called every [PERIOD_MILLISECONDS]. */
    fun recordTick() {
        val now = clock.nowMilliseconds()
        val elapsed = maxOf(now - lastTickAtMilliseconds, PERIOD_MILLISECONDS)
        lastTickAtMilliseconds = now
        val weight = minOf(1.0, elapsed.toDouble() / SMOOTHING_MILLISECONDS)
        smoothedMilliseconds += (elapsed - PERIOD_MILLISECONDS - smoothedMilliseconds) * weight
    }

    internal companion object {
        /** Period of the timer. */
        const val PERIOD_MILLISECONDS = 50L
        private const val SMOOTHING_MILLISECONDS = 400.0

        /** Above the lag caused by a CPU quota that is enforced in periods of 100 ms. */
        private const val DEFAULT_OVERLOAD_THRESHOLD_MILLISECONDS = 200.0
    }
}
