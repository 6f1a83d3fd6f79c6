package toucanrelay.core.backoff

/** What a target's refusal says of the time for which it wants no further request. */
public sealed interface RequestedBackoff {
    /** The target wants no request from this instance for [milliseconds]. */
    public data class For(
        public val milliseconds: Long,
    ) : RequestedBackoff

    /** The target asks for no back-off. */
    public data object None : RequestedBackoff

    /** The refusal contains a back-off that is not a valid number of seconds, given as [text]. */
    public data class Unreadable(
        public val text: String,
    ) : RequestedBackoff
}
