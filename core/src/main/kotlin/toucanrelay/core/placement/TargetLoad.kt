package toucanrelay.core.placement

/**
 * Requests that are at a target, or on their way to it.
 *
 * @property requests number of requests.
 * @property unreadTokens prompt tokens that the engine has yet to read before the first tokens of these requests.
 * @property memoryTokens engine memory that these requests will hold together.
 */
public data class TargetLoad(
    public val requests: Int,
    public val unreadTokens: Long,
    public val memoryTokens: Long,
) {
    /** The load of both together. */
    public operator fun plus(other: TargetLoad): TargetLoad =
        TargetLoad(requests + other.requests, unreadTokens + other.unreadTokens, memoryTokens + other.memoryTokens)

    public companion object {
        /** Nothing at all. */
        public val NONE: TargetLoad = TargetLoad(0, 0, 0)
    }
}
