package toucanrelay.gateway.http

import toucanrelay.core.http.FramingFault
import toucanrelay.core.overload.RetryDelay
import kotlin.random.Random

/**
 * Reasons for which the gateway itself refuses or fails a request; each one has a counter.
 *
 * @property label value of the counter's tag and of the log field.
 * @property status HTTP status of the response to the caller.
 * @property isRetryable whether the request has not run and the response has a `Retry-After` header.
 */
internal enum class Refusal(
    val label: String,
    val status: Int,
    val isRetryable: Boolean,
) {
    MALFORMED("malformed", 400, false),

    /** It is in doubt where the request or its body ends. */
    DOUBTFUL_FRAMING("doubtful-framing", 400, false),
    UNSUPPORTED_CODING("unsupported-coding", 501, false),
    UNSUPPORTED_VERSION("unsupported-version", 505, false),
    UNKNOWN_KEY("unknown-key", 401, false),
    UNKNOWN_ROUTE("unknown-route", 404, false),
    BODY_TOO_LARGE("body-too-large", 413, false),

    /** The rest of the body did not arrive. */
    BODY_TIMEOUT("body-timeout", 408, false),
    REQUEST_LINE_TOO_LONG("request-line-too-long", 414, false),
    HEADERS_TOO_LARGE("headers-too-large", 431, false),

    /** No configuration has been received yet. */
    NO_CONFIGURATION("no-configuration", 503, true),

    /** The configuration may be outdated, so that the caller's key may have been revoked. */
    STALE_CONFIGURATION("stale-configuration", 503, true),

    /** No target that may serve the request exists. */
    NO_TARGET("no-target", 503, true),

    /** This process could not read yet which versions of targets are in service, or were before it started. */
    VERSIONS_NOT_READ("versions-not-read", 503, true),

    /** Several versions of targets may have begun the stream that the request resumes; only its own may continue it. */
    VERSION_UNKNOWN("version-unknown", 503, false),

    /** No target has the version that began the stream that the request resumes. */
    VERSION_GONE("version-gone", 503, false),

    /** Targets crashed on the request or a part of its prompt; it has not run, and would be refused again. */
    QUARANTINED("quarantined", 503, false),

    /** All targets are too busy to serve the request in time. */
    OVERLOADED("overloaded", 503, true),

    /** All targets have asked for a back-off that is longer than the request can wait. */
    BACKING_OFF("targets-backing-off", 503, true),

    /** Every target that was tried reported that it did not run the request. */
    REJECTED_BY_TARGETS("rejected-by-targets", 503, true),

    /** No connection to a target could be established. */
    UNREACHABLE("unreachable", 503, true),

    /** The deadline passed before the request was sent to a target. */
    DEADLINE_BEFORE_START("deadline-before-start", 503, true),

    /** The event loop of this process lags too far behind. */
    PROCESS_OVERLOADED("process-overloaded", 503, true),

    /** The process is shutting down. */
    SHUTTING_DOWN("shutting-down", 503, true),

    /** The work on the request failed unexpectedly before the request was sent to a target. */
    FAILED_BEFORE_START("failed-before-start", 503, true),

    /** The request was sent to a target and no complete response arrived. */
    ANSWER_LOST("answer-lost", 502, false),

    /** The deadline passed while a target was running the request. */
    DEADLINE_WHILE_RUNNING("deadline-while-running", 504, false),
    ;

    /**
     * Returns the delay in milliseconds after which the caller may send the request again; null if it may not.
     *
     * @param remainingMilliseconds time until the request's deadline.
     */
    fun retryDelayMilliseconds(remainingMilliseconds: Long, random: Random): Long? =
        when {
            !isRetryable -> null
            this == SHUTTING_DOWN -> RetryDelay.elsewhereMilliseconds(random)
            else -> RetryDelay.milliseconds(maxOf(0, remainingMilliseconds), random)
        }

    /** Whether the refusal may come before the end of the request's body. */
    val leavesBodyUnread: Boolean
        get() = this == BODY_TOO_LARGE || this == BODY_TIMEOUT

    internal companion object {
        /** Returns the refusal of a request of which [fault] leaves the end in doubt. */
        fun of(fault: FramingFault): Refusal =
            when (fault) {
                FramingFault.HEAD_TOO_LARGE -> HEADERS_TOO_LARGE
                FramingFault.CHUNK_TOO_LARGE -> BODY_TOO_LARGE
                FramingFault.UNSUPPORTED_CODING -> UNSUPPORTED_CODING
                FramingFault.UNSUPPORTED_VERSION -> UNSUPPORTED_VERSION
                else -> DOUBTFUL_FRAMING
            }
    }
}
