package toucanrelay.core.placement

/**
 * Requests that are at a target or being sent to it.
 *
 * @property requests number of requests.
 * @property unreadTokens prompt tokens that the engine still has to read for these requests.
 * @property memoryTokens engine memory that these requests will occupy in total.
 */
public data class TargetLoad(
    public val requests: Int,
    public val unreadTokens: Long,
    public val memoryTokens: Long,
) {
    /** Returns the sum of both loads. */
    public operator fun plus(other: TargetLoad): TargetLoad =
        TargetLoad(requests + other.requests, unreadTokens + other.unreadTokens, memoryTokens + other.memoryTokens)

    public companion object {
        /** No load. */
        public val NONE: TargetLoad = TargetLoad(0, 0, 0)
    }
}
