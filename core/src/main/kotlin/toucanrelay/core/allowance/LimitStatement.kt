package toucanrelay.core.allowance

/**
 * The limit that a run of a target stated at one moment.
 *
 * @property requestsPerSecond rate that the target takes from the whole fleet; null if it states no limit.
 * @property atMilliseconds clock reading of the statement. An answer that states no limit may have left the target long
 *   before it arrived, so it counts from the moment at which its request was sent.
 */
public data class LimitStatement(
    public val requestsPerSecond: Double?,
    public val atMilliseconds: Long,
)
