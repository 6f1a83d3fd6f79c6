package toucanrelay.core.retry

import toucanrelay.core.refusal.Executed
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.core.refusal.RetryReason
import kotlin.random.Random

/** The decision after an attempt without a complete answer. */
public sealed interface RetryDecision {
    /**
     * The request is sent again.
     *
     * @property reason why a retry is allowed.
     * @property delayMilliseconds delay before the retry.
     */
    public data class Retry(
        public val reason: RetryReason,
        public val delayMilliseconds: Long,
    ) : RetryDecision

    /**
     * The caller immediately gets a final refusal.
     *
     * @property reason the reason reported to the caller.
     * @property executed whether the request may have run in any of its attempts.
     */
    public data class GiveUp(
        public val reason: RefusalReason,
        public val executed: Executed,
    ) : RetryDecision
}

/**
 * Tracks the attempts of one request and decides on retries.
 *
 * @param isIdempotent whether the request may run more than once.
 * @param deadlineMilliseconds clock reading of the request's deadline.
 * @param policy retry rules and budget shared by all requests.
 */
public class RequestAttempts(
    private val isIdempotent: Boolean,
    private val deadlineMilliseconds: Long,
    private val policy: RetryPolicy,
) {
    private var refusals = 0
    private var failures = 0
    private var mayHaveRun = false

    /** Whether the caller has received a part of the answer; if so, the request is not run again. */
    public var isAnswerStarted: Boolean = false

    /** Whether the request may have run in any attempt so far. */
    public val executed: Executed
        get() = if (mayHaveRun) Executed.UNKNOWN else Executed.NO

    /** Decides whether to retry after [outcome]. */
    public fun decide(outcome: AttemptOutcome, nowMilliseconds: Long): RetryDecision {
        mayHaveRun = mayHaveRun || outcome.mayHaveRun
        return when {
            isAnswerStarted -> giveUp(reasonOf(outcome))
            nowMilliseconds >= deadlineMilliseconds -> giveUp(deadlineReason())
            mayHaveRun && !isIdempotent -> giveUp(reasonOf(outcome))
            else -> decideRetry(outcome, nowMilliseconds)
        }
    }

    /** Returns the refusal reason of a request that reaches its deadline. */
    public fun deadlineReason(): RefusalReason =
        if (mayHaveRun) RefusalReason.DEADLINE_WHILE_RUNNING else RefusalReason.DEADLINE_BEFORE_START

    /** Records that the request was sent and its answer is no longer awaited. */
    public fun recordUnansweredAttempt() {
        mayHaveRun = true
    }

    private fun decideRetry(outcome: AttemptOutcome, nowMilliseconds: Long): RetryDecision {
        if (outcome is AttemptOutcome.Refused) {
            if (outcome.reason !in policy.retryableRefusals) return giveUp(outcome.reason)
            refusals += 1
            if (refusals >= policy.maxRefusals) return giveUp(RefusalReason.RETRIES_EXHAUSTED)
            if (outcome.reason in policy.immediatelyRetriedRefusals) return RetryDecision.Retry(RetryReason.NOT_RUN, 0)
        }
        failures += 1
        if (failures >= policy.maxAttempts) return giveUp(exhaustedReason(outcome))
        val delay = policy.backoff.delayMilliseconds(failures, policy.random)
        if (nowMilliseconds + delay >= deadlineMilliseconds) return giveUp(exhaustedReason(outcome))
        if (!policy.budget.withdraw()) return giveUp(exhaustedReason(outcome))
        return RetryDecision.Retry(retryReasonOf(outcome), delay)
    }

    private fun exhaustedReason(outcome: AttemptOutcome): RefusalReason =
        if (mayHaveRun) reasonOf(outcome) else RefusalReason.RETRIES_EXHAUSTED

    private fun giveUp(reason: RefusalReason): RetryDecision.GiveUp = RetryDecision.GiveUp(reason, executed)

    private fun reasonOf(outcome: AttemptOutcome): RefusalReason =
        when (outcome) {
            is AttemptOutcome.Refused -> if (mayHaveRun) RefusalReason.ANSWER_LOST else outcome.reason
            is AttemptOutcome.NeverSent -> if (mayHaveRun) RefusalReason.ANSWER_LOST else RefusalReason.NO_TARGET
            is AttemptOutcome.Lost -> RefusalReason.ANSWER_LOST
            is AttemptOutcome.Failed -> outcome.reason
        }

    private fun retryReasonOf(outcome: AttemptOutcome): RetryReason =
        when (outcome) {
            is AttemptOutcome.Refused -> {
                RetryReason.NOT_RUN
            }

            is AttemptOutcome.NeverSent -> {
                RetryReason.LINK_BROKEN_BEFORE_SEND
            }

            is AttemptOutcome.Lost -> {
                RetryReason.LINK_BROKEN_IDEMPOTENT
            }

            is AttemptOutcome.Failed -> {
                if (outcome.executed == Executed.NO) RetryReason.NOT_RUN else RetryReason.TARGET_FAILED_IDEMPOTENT
            }
        }
}

/**
 * The retry rules of one entry.
 *
 * @property budget limit on the retries of all requests together.
 * @property random source of the jitter.
 * @property backoff delays between attempts.
 * @property maxAttempts maximum number of attempts of one request that count against the budget; refused attempts
 * that are retried without delay do not count.
 * @property maxRefusals number of refusals by agents after which a request is given up.
 */
public class RetryPolicy(
    public val budget: RetryBudget,
    public val random: Random,
    public val backoff: Backoff = Backoff(baseMilliseconds = 25, capMilliseconds = 1_000),
    public val maxAttempts: Int = 4,
    public val maxRefusals: Int = 16,
) {
    /** Refusals after which another target, or the same one later, may accept the request. */
    internal val retryableRefusals =
        setOf(
            RefusalReason.TARGET_FULL,
            RefusalReason.TARGET_LEAVING,
            RefusalReason.FAILURE_DOMAIN_OUT,
            RefusalReason.MODEL_NOT_LOADED,
            RefusalReason.STALE_INCARNATION,
            RefusalReason.TARGET_UNREACHABLE,
            RefusalReason.TARGET_REFUSED,
            RefusalReason.NO_BUNDLE,
            RefusalReason.SHUTTING_DOWN,
            RefusalReason.DUPLICATE_REQUEST,
        )

    /** Refusals that cost the target nothing and are retried without delay, since the queue chooses another target. */
    internal val immediatelyRetriedRefusals =
        setOf(
            RefusalReason.TARGET_FULL,
            RefusalReason.TARGET_LEAVING,
            RefusalReason.FAILURE_DOMAIN_OUT,
            RefusalReason.SHUTTING_DOWN,
        )
}
