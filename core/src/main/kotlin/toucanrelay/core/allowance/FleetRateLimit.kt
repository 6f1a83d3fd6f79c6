package toucanrelay.core.allowance

/**
 * Limit on the requests that all instances of the fleet together send to one target.
 *
 * @property requestsPerSecond rate that the target takes.
 * @property windowMilliseconds length of the sliding window over which the rate is judged.
 */
public data class FleetRateLimit(
    public val requestsPerSecond: Double,
    public val windowMilliseconds: Long,
) {
    init {
        require(requestsPerSecond >= 0) { "the rate must not be negative: $requestsPerSecond" }
        require(windowMilliseconds > 0) { "the window must be positive: $windowMilliseconds" }
    }
}
