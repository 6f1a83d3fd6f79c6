package toucanrelay.core.fairness

/**
 * The least value observed over a sliding window, in two buckets of [windowMilliseconds] each.
 *
 * @param windowMilliseconds each value counts for at least this long, and for at most twice as long.
 */
internal class WindowedMinimum(
    private val windowMilliseconds: Long,
) {
    private var bucketStart = 0L
    private var earlier = Double.POSITIVE_INFINITY
    private var current = Double.POSITIVE_INFINITY
    private var isStarted = false

    /** The least value of the window; null when nothing was observed for a whole window. */
    val value: Double?
        get() = minOf(earlier, current).takeIf { it.isFinite() }

    /** Notes that the value was [value] at [nowMilliseconds]; null when there was none. */
    fun observe(nowMilliseconds: Long, value: Double?) {
        rotate(nowMilliseconds)
        if (value != null) current = minOf(current, value)
    }

    private fun rotate(nowMilliseconds: Long) {
        val age = nowMilliseconds - bucketStart
        if (isStarted && age < windowMilliseconds) return
        earlier = if (isStarted && age < 2 * windowMilliseconds) current else Double.POSITIVE_INFINITY
        current = Double.POSITIVE_INFINITY
        bucketStart = nowMilliseconds
        isStarted = true
    }
}
