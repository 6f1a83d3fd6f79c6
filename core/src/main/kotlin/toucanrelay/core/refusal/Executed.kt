package toucanrelay.core.refusal

/**
 * Whether a request without a complete answer may have run on a target.
 *
 * @property label value of the `executed` member of the problem document.
 */
public enum class Executed(
    public val label: String,
) {
    /** It is certain that no target received the request. */
    NO("no"),

    /** A target received the request or may have received it. */
    UNKNOWN("unknown"),
}
