package toucanrelay.standins

private const val NANOSECONDS_PER_SECOND = 1_000_000_000.0

/**
 * Token bucket whose capacity is the calls of one second, but at least one.
 *
 * @param callsPerSecond permitted calls per second; 0 for no limit.
 */
internal class RateLimiter(
    private val callsPerSecond: Double,
) {
    private val capacity = maxOf(callsPerSecond, 1.0)
    private var tokens = capacity
    private var refilledAtNanoseconds = System.nanoTime()

    /** Takes a token if one is available; returns whether the call is permitted. */
    fun tryAcquire(): Boolean {
        if (callsPerSecond == 0.0) return true
        val now = System.nanoTime()
        tokens = minOf(capacity, tokens + (now - refilledAtNanoseconds) / NANOSECONDS_PER_SECOND * callsPerSecond)
        refilledAtNanoseconds = now
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }
}
