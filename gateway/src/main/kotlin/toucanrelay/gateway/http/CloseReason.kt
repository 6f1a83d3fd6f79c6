package toucanrelay.gateway.http

/**
 * Reasons for which this process closes a caller's connection without a complete answer; each one has a counter.
 *
 * @property label value of the counter's tag and of the log field.
 */
internal enum class CloseReason(
    val label: String,
) {
    /** The answer had begun and its rest was lost. */
    ANSWER_LOST("answer-lost"),

    /** The answer had begun when its deadline passed. */
    DEADLINE("deadline"),

    /** The work on the request failed in a way that is not expected. */
    UNEXPECTED_FAILURE("unexpected-failure"),

    /** There were too many open connections. */
    TOO_MANY_CONNECTIONS("too-many-connections"),

    /** Nothing has arrived on it for the configured time. */
    IDLE_TIMEOUT("idle-timeout"),

    /** It is in doubt where a request on it ends, so that no further one can be read. */
    DOUBTFUL_FRAMING("doubtful-framing"),

    /** The process ended. */
    SHUTDOWN("shutdown"),
    ;

    internal companion object {
        /** Returns the reason for closing the connection of an answer that has begun and is then refused. */
        fun of(refusal: Refusal): CloseReason = if (refusal == Refusal.DEADLINE_WHILE_RUNNING) DEADLINE else ANSWER_LOST
    }
}
