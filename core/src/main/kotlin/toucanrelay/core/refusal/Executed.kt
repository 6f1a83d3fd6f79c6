package toucanrelay.core.refusal

/**
 * Whether a request that got no whole answer may have run.
 *
 * @property label value of the problem document's member `executed`.
 */
public enum class Executed(
    public val label: String,
) {
    /** Proved that no target got the request. */
    NO("no"),

    /** A target got the request or may have got it. */
    UNKNOWN("unknown"),
}
