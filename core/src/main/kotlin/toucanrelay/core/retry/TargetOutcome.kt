package toucanrelay.core.retry

/** How an attempt at a target ended without an answer for the caller. */
public enum class TargetOutcome {
    /** The connection could not be opened, so nothing was sent. */
    NOT_SENT,

    /** The target reported that it did not run the request. */
    REJECTED,

    /** The target answered with an error of its own. */
    FAILED,

    /** The request was sent but no complete answer arrived; it may have run. */
    UNKNOWN,
}
