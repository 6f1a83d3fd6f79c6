package toucanrelay.core.refusal

/**
 * Why a request got no answer, as a closed set; each reason has a counter and a row on the operators' page.
 *
 * @property type last part of the problem document's type, stable over versions.
 * @property status HTTP status given to the caller.
 * @property isRetryable whether the same request may succeed later; such answers carry `Retry-After`.
 */
public enum class RefusalReason(
    public val type: String,
    public val status: Int,
    public val isRetryable: Boolean,
) {
    /** No bearer key, or a key that no organisation has. */
    UNKNOWN_KEY("unknown-key", 401, false),

    /** The organisation may not use the model or service. */
    FORBIDDEN_POOL("forbidden-pool", 403, false),

    /** No target of the bundle serves the model or service. */
    UNKNOWN_POOL("unknown-pool", 404, false),

    /** The body is not what the interface takes. */
    MALFORMED_REQUEST("malformed-request", 400, false),

    /** The caller sent its body too slowly or not to its end. */
    INCOMPLETE_REQUEST("incomplete-request", 408, false),

    /** The body is larger than the organisation's limit. */
    BODY_TOO_LARGE("body-too-large", 413, false),

    /** The organisation has as many requests waiting at this entry as it may. */
    TOO_MANY_WAITING("too-many-waiting", 429, true),

    /** The organisation has as many requests in flight at this entry as it may. */
    TOO_MANY_IN_FLIGHT("too-many-in-flight", 429, true),

    /** The process holds no bundle yet, or has not confirmed the one it holds since a pause. */
    NO_BUNDLE("no-bundle", 503, true),

    /** The process is shutting down. */
    SHUTTING_DOWN("shutting-down", 503, true),

    /** The target has no free slot; the entry tries elsewhere. */
    TARGET_FULL("target-full", 503, true),

    /** The target is leaving; the entry tries elsewhere. */
    TARGET_LEAVING("target-leaving", 503, true),

    /** The target's failure domain is out of service; the entry tries elsewhere. */
    FAILURE_DOMAIN_OUT("failure-domain-out", 503, true),

    /** The target does not serve the model; the entry tries elsewhere. */
    MODEL_NOT_LOADED("model-not-loaded", 503, true),

    /** The request was meant for an earlier run of the agent. */
    STALE_INCARNATION("stale-incarnation", 503, true),

    /** The agent has seen this request before. */
    DUPLICATE_REQUEST("duplicate-request", 409, false),

    /** No connection to the target could be made. */
    TARGET_UNREACHABLE("target-unreachable", 503, true),

    /** The target itself refused before it ran anything. */
    TARGET_REFUSED("target-refused", 503, true),

    /** The request waited until its deadline and was never sent. */
    DEADLINE_BEFORE_START("deadline-before-start", 504, true),

    /** No reachable target serves the model or service now. */
    NO_TARGET("no-target", 503, true),

    /** The attempts or the retry budget ran out. */
    RETRIES_EXHAUSTED("retries-exhausted", 503, true),

    /** The claim of a non-idempotent order could not be written or read. */
    CLAIM_UNAVAILABLE("claim-unavailable", 503, true),

    /** More orders arrive than claims can be written. */
    CLAIM_RATE_EXCEEDED("claim-rate-exceeded", 503, true),

    /** Another call with the same idempotency key is running. */
    ORDER_RUNNING("order-running", 409, true),

    /** Another call with the same idempotency key had a different body. */
    IDEMPOTENCY_KEY_REUSED("idempotency-key-reused", 422, false),

    /** An earlier call with the same idempotency key ended without a known outcome. */
    ORDER_OUTCOME_UNKNOWN("order-outcome-unknown", 502, false),

    /** The connection to the target broke after the request was sent and could not be resumed. */
    ANSWER_LOST("answer-lost", 502, false),

    /** The target failed while it ran the request. */
    TARGET_FAILED("target-failed", 502, false),

    /** The deadline passed while the target ran the request. */
    DEADLINE_WHILE_RUNNING("deadline-while-running", 504, false),

    /** The process stopped at its shutdown limit while the request ran. */
    CUT_BY_SHUTDOWN("cut-by-shutdown", 502, false),

    /** The caller went away. */
    CALLER_GONE("caller-gone", 499, false),
}
