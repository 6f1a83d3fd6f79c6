package toucanrelay.core.refusal

/**
 * Why an entry sent a request again, as a closed set; each reason has a counter.
 *
 * @property label value of the counter's `reason` tag.
 */
public enum class RetryReason(
    public val label: String,
) {
    /** The agent proved that the target did not get the request. */
    NOT_RUN("not-run"),

    /** The link broke before the request was sent. */
    LINK_BROKEN_BEFORE_SEND("link-broken-before-send"),

    /** The link broke while an idempotent request ran. */
    LINK_BROKEN_IDEMPOTENT("link-broken-idempotent"),

    /** The target failed an idempotent request before the first byte of its answer. */
    TARGET_FAILED_IDEMPOTENT("target-failed-idempotent"),

    /** An answer that broke off is continued from its offset. */
    ANSWER_RESUMED("answer-resumed"),
}
