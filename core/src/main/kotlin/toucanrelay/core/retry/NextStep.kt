package toucanrelay.core.retry

/** The step that follows an attempt without an answer. */
public enum class NextStep {
    /** Send the request to another target. */
    RETRY,

    /** Tell the caller that the request did not run and may be sent again. */
    REFUSE,

    /** Tell the caller that the request failed and may have run. */
    FAIL,

    /** Forward the target's own error response. */
    RELAY_FAILURE,
}

/**
 * State of a request after an attempt.
 *
 * @property mayRunAgain whether the route allows the request to run more than once.
 * @property mayHaveRun whether the request may have run in any attempt so far.
 * @property attempts number of times the request was sent to a target.
 * @property remainingMilliseconds time left until the deadline.
 */
public data class AttemptState(
    public val mayRunAgain: Boolean,
    public val mayHaveRun: Boolean,
    public val attempts: Int,
    public val maxAttempts: Int,
    public val remainingMilliseconds: Long,
)

/** Decides the next step after an attempt without an answer. */
public object NextStepPolicy {
    /**
     * Returns the next step after [outcome].
     *
     * [acquireRetry] takes a retry from the budget; it is called last, and not at all if nothing was sent.
     */
    public fun decide(outcome: TargetOutcome, state: AttemptState, acquireRetry: () -> Boolean): NextStep {
        val mayRetry = if (outcome == TargetOutcome.NOT_SENT) true else mayRetryAfter(outcome, state) && acquireRetry()
        if (mayRetry && state.remainingMilliseconds >= MIN_REMAINING_MILLISECONDS) return NextStep.RETRY
        return when {
            outcome == TargetOutcome.FAILED -> NextStep.RELAY_FAILURE
            state.mayHaveRun -> NextStep.FAIL
            else -> NextStep.REFUSE
        }
    }

    private fun mayRetryAfter(outcome: TargetOutcome, state: AttemptState): Boolean {
        val isSafe = outcome == TargetOutcome.REJECTED || state.mayRunAgain
        return isSafe &&
            state.attempts < state.maxAttempts &&
            state.remainingMilliseconds >= MIN_REMAINING_MILLISECONDS
    }

    private const val MIN_REMAINING_MILLISECONDS = 60L
}
