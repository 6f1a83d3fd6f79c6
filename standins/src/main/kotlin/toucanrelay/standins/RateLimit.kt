package toucanrelay.standins

private const val NANOSECONDS_IN_A_SECOND = 1_000_000_000.0

/**
 * Token bucket that holds the calls of one second.
 *
 * @param callsPerSecond calls to let pass in a second; 0 for no limit.
 */
internal class RateLimit(
    private val callsPerSecond: Double,
) {
    private val capacity = maxOf(callsPerSecond, 1.0)
    private var tokens = capacity
    private var filledAtNanoseconds = System.nanoTime()

    /** Whether a call may pass now. */
    fun tryPass(): Boolean {
        if (callsPerSecond == 0.0) return true
        val now = System.nanoTime()
        tokens = minOf(capacity, tokens + (now - filledAtNanoseconds) / NANOSECONDS_IN_A_SECOND * callsPerSecond)
        filledAtNanoseconds = now
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }
}
