package toucanrelay.core.refusal

/**
 * Closed set of reasons for which an entry retries a request; each has a counter.
 *
 * @property label value of the `reason` tag of the counter.
 */
public enum class RetryReason(
    public val label: String,
) {
    /** The agent confirmed that the target did not receive the request. */
    NOT_RUN("not-run"),

    /** The link broke before the request was sent. */
    LINK_BROKEN_BEFORE_SEND("link-broken-before-send"),

    /** The link broke while an idempotent request was running. */
    LINK_BROKEN_IDEMPOTENT("link-broken-idempotent"),

    /** The target failed an idempotent request before the first byte of its answer. */
    TARGET_FAILED_IDEMPOTENT("target-failed-idempotent"),

    /** An interrupted answer is resumed from its offset. */
    ANSWER_RESUMED("answer-resumed"),
}
