package toucanrelay.core.fairness

/**
 * Tracks the minimum of a value over a sliding window, in two buckets of [windowMilliseconds] each.
 *
 * @param windowMilliseconds minimum time for which each value counts; it counts for at most twice as long.
 */
internal class WindowedMinimum(
    private val windowMilliseconds: Long,
) {
    private var bucketStartMilliseconds = 0L
    private var earlier = Double.POSITIVE_INFINITY
    private var current = Double.POSITIVE_INFINITY
    private var isStarted = false

    /** Minimum over the window; null when nothing was observed for a whole window. */
    val value: Double?
        get() = minOf(earlier, current).takeIf { it.isFinite() }

    /** Records that the value was [value] at [nowMilliseconds]; null when there was none. */
    fun record(nowMilliseconds: Long, value: Double?) {
        rotate(nowMilliseconds)
        if (value != null) current = minOf(current, value)
    }

    private fun rotate(nowMilliseconds: Long) {
        val age = nowMilliseconds - bucketStartMilliseconds
        if (isStarted && age < windowMilliseconds) return
        earlier = if (isStarted && age < 2 * windowMilliseconds) current else Double.POSITIVE_INFINITY
        current = Double.POSITIVE_INFINITY
        bucketStartMilliseconds = nowMilliseconds
        isStarted = true
    }
}
