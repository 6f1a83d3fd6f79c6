package toucanrelay.gateway.dispatch

/**
 * What this process may send to targets whose rate of requests is limited, while it may send to no other target.
 *
 * @property millisecondsUntilNext time until the next request may be sent; null if none may be at the present rates.
 * @property requestsPerSecond sum of the rates of all these targets.
 */
internal data class PacedCapacity(
    val millisecondsUntilNext: Long?,
    val requestsPerSecond: Double,
) {
    /** Returns the expected wait of a request that [ahead] others precede; infinite if it would never be sent. */
    fun waitMilliseconds(ahead: Int): Double {
        val next = millisecondsUntilNext ?: return Double.POSITIVE_INFINITY
        return next + ahead / requestsPerSecond * MILLISECONDS_PER_SECOND
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
