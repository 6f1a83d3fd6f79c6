package toucanrelay.core.allowance

/** What the answer of a target says of a limit on its request rate. */
public sealed interface StatedLimit {
    /** The target takes [requestsPerSecond] requests per second from the whole fleet. */
    public data class PerSecond(
        public val requestsPerSecond: Double,
    ) : StatedLimit

    /** The target states no limit. */
    public data object None : StatedLimit

    /** The answer contains a limit that is not a valid number, given as [text]. */
    public data class Unreadable(
        public val text: String,
    ) : StatedLimit
}
