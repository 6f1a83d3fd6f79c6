package toucanrelay.core.refusal

/**
 * Closed set of reasons for which a request is not answered; each has a counter and a row in the operators' guide.
 *
 * @property type last segment of the problem document's type URI; stable across versions.
 * @property status HTTP status sent to the caller.
 * @property isRetryable whether the same request may succeed later; such responses carry `Retry-After`.
 */
public enum class RefusalReason(
    public val type: String,
    public val status: Int,
    public val isRetryable: Boolean,
) {
    /** The bearer key is missing or belongs to no organisation. */
    UNKNOWN_KEY("unknown-key", 401, false),

    /** The organisation is not allowed to use the model or service. */
    FORBIDDEN_POOL("forbidden-pool", 403, false),

    /** No target in the bundle serves the model or service. */
    UNKNOWN_POOL("unknown-pool", 404, false),

    /** The request body is invalid for the interface. */
    MALFORMED_REQUEST("malformed-request", 400, false),

    /** The request body was sent too slowly or is truncated. */
    INCOMPLETE_REQUEST("incomplete-request", 408, false),

    /** The request body exceeds the organisation's size limit. */
    BODY_TOO_LARGE("body-too-large", 413, false),

    /** The organisation has reached its limit of waiting requests at this entry. */
    TOO_MANY_WAITING("too-many-waiting", 429, true),

    /** The organisation has reached its limit of requests in flight at this entry. */
    TOO_MANY_IN_FLIGHT("too-many-in-flight", 429, true),

    /** The process has no bundle yet, or has not reconfirmed its bundle since it was paused. */
    NO_BUNDLE("no-bundle", 503, true),

    /** The process is shutting down. */
    SHUTTING_DOWN("shutting-down", 503, true),

    /** The target has no free slot; the entry tries another target. */
    TARGET_FULL("target-full", 503, true),

    /** The target is draining; the entry tries another target. */
    TARGET_LEAVING("target-leaving", 503, true),

    /** The target's failure domain is out of service; the entry tries another target. */
    FAILURE_DOMAIN_OUT("failure-domain-out", 503, true),

    /** The target does not serve the model; the entry tries another target. */
    MODEL_NOT_LOADED("model-not-loaded", 503, true),

    /** The request was addressed to an earlier incarnation of the agent. */
    STALE_INCARNATION("stale-incarnation", 503, true),

    /** The agent has already received this request. */
    DUPLICATE_REQUEST("duplicate-request", 409, false),

    /** The connection to the target could not be opened. */
    TARGET_UNREACHABLE("target-unreachable", 503, true),

    /** The target rejected the request before running it. */
    TARGET_REFUSED("target-refused", 503, true),

    /** The deadline passed while the request was queued; it was never sent. */
    DEADLINE_BEFORE_START("deadline-before-start", 504, true),

    /** No reachable target currently serves the model or service. */
    NO_TARGET("no-target", 503, true),

    /** The maximum number of attempts is reached or the retry budget is exhausted. */
    RETRIES_EXHAUSTED("retries-exhausted", 503, true),

    /** The claim of a non-idempotent order could not be written or read. */
    CLAIM_UNAVAILABLE("claim-unavailable", 503, true),

    /** Orders arrive faster than claims can be written. */
    CLAIM_RATE_EXCEEDED("claim-rate-exceeded", 503, true),

    /** Another call with the same idempotency key is still running. */
    ORDER_RUNNING("order-running", 409, true),

    /** The idempotency key was already used with a different request body. */
    IDEMPOTENCY_KEY_REUSED("idempotency-key-reused", 422, false),

    /** An earlier call with the same idempotency key ended without a known outcome. */
    ORDER_OUTCOME_UNKNOWN("order-outcome-unknown", 502, false),

    /** The connection to the target broke after the request was sent and could not be resumed. */
    ANSWER_LOST("answer-lost", 502, false),

    /** The target failed while running the request. */
    TARGET_FAILED("target-failed", 502, false),

    /** The deadline passed while the target was running the request. */
    DEADLINE_WHILE_RUNNING("deadline-while-running", 504, false),

    /** The process reached its shutdown time limit while the request was running. */
    CUT_BY_SHUTDOWN("cut-by-shutdown", 502, false),

    /** The caller closed the connection. */
    CALLER_GONE("caller-gone", 499, false),
}
