package toucanrelay.core.retry

/** What follows an attempt that gave no answer. */
public enum class NextStep {
    /** Send the request to another target. */
    RETRY,

    /** Tell the caller that the request did not run and may come back. */
    REFUSE,

    /** Tell the caller that the request failed and may have run. */
    FAIL,

    /** Pass on the target's own failure. */
    RELAY_FAILURE,
}

/**
 * State of a request after an attempt.
 *
 * @property mayRunAgain whether the route allows a second run.
 * @property mayHaveRun whether any attempt so far may have run.
 * @property attempts targets to which the request was sent.
 * @property remainingMilliseconds time left for an answer.
 */
public data class AttemptState(
    public val mayRunAgain: Boolean,
    public val mayHaveRun: Boolean,
    public val attempts: Int,
    public val maximumAttempts: Int,
    public val remainingMilliseconds: Long,
)

/** Decides what follows an attempt that gave no answer. */
public object NextStepPolicy {
    /** The next step after [outcome]; [takeRetry] takes a retry from the budget and is asked last. */
    public fun decide(outcome: TargetOutcome, state: AttemptState, takeRetry: () -> Boolean): NextStep {
        val mayRetry = if (outcome == TargetOutcome.NOT_SENT) true else mayRetryAfter(outcome, state) && takeRetry()
        if (mayRetry && state.remainingMilliseconds >= LEAST_REMAINING_MILLISECONDS) return NextStep.RETRY
        return when {
            outcome == TargetOutcome.FAILED -> NextStep.RELAY_FAILURE
            state.mayHaveRun -> NextStep.FAIL
            else -> NextStep.REFUSE
        }
    }

    private fun mayRetryAfter(outcome: TargetOutcome, state: AttemptState): Boolean {
        val isSafe = outcome == TargetOutcome.REJECTED || state.mayRunAgain
        return isSafe &&
            state.attempts < state.maximumAttempts &&
            state.remainingMilliseconds >= LEAST_REMAINING_MILLISECONDS
    }

    private const val LEAST_REMAINING_MILLISECONDS = 60L
}
