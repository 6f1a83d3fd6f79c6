package toucanrelay.core.retry

import toucanrelay.core.refusal.Executed
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.core.refusal.RetryReason
import kotlin.random.Random

/** What follows an attempt that gave no whole answer. */
public sealed interface RetryDecision {
    /**
     * The request is sent again.
     *
     * @property reason why that is allowed.
     * @property delayMilliseconds time to wait before.
     */
    public data class Again(
        public val reason: RetryReason,
        public val delayMilliseconds: Long,
    ) : RetryDecision

    /**
     * The caller gets a final refusal at once.
     *
     * @property reason what the caller is told.
     * @property executed whether the request may have run in any of its attempts.
     */
    public data class GiveUp(
        public val reason: RefusalReason,
        public val executed: Executed,
    ) : RetryDecision
}

/**
 * The attempts at one request.
 *
 * @param isIdempotent whether the request may run more than once.
 * @param deadlineMilliseconds reading of the clock after which the caller gets no answer.
 * @param policy the rules and the budget that all requests share.
 */
public class RequestAttempts(
    private val isIdempotent: Boolean,
    private val deadlineMilliseconds: Long,
    private val policy: RetryPolicy,
) {
    private var refusals = 0
    private var failures = 0
    private var mayHaveRun = false

    /** Whether the caller was given a part of the answer; then the request is not run again. */
    public var isAnswerStarted: Boolean = false

    /** Whether the request may have run in any attempt so far. */
    public val executed: Executed
        get() = if (mayHaveRun) Executed.UNKNOWN else Executed.NO

    /** Decides what follows [outcome]. */
    public fun decide(outcome: AttemptOutcome, nowMilliseconds: Long): RetryDecision {
        mayHaveRun = mayHaveRun || outcome.mayHaveRun
        return when {
            isAnswerStarted -> giveUp(reasonOf(outcome))
            nowMilliseconds >= deadlineMilliseconds -> giveUp(deadlineReason())
            mayHaveRun && !isIdempotent -> giveUp(reasonOf(outcome))
            else -> decideRepeatable(outcome, nowMilliseconds)
        }
    }

    /** The reason of a request that ends at its deadline. */
    public fun deadlineReason(): RefusalReason =
        if (mayHaveRun) RefusalReason.DEADLINE_WHILE_RUNNING else RefusalReason.DEADLINE_BEFORE_START

    /** Notes that the request was sent and no answer to that attempt will be waited for. */
    public fun noteUnanswered() {
        mayHaveRun = true
    }

    private fun decideRepeatable(outcome: AttemptOutcome, nowMilliseconds: Long): RetryDecision {
        if (outcome is AttemptOutcome.Refused) {
            if (outcome.reason !in policy.repeatableRefusals) return giveUp(outcome.reason)
            refusals += 1
            if (refusals >= policy.maximumRefusals) return giveUp(RefusalReason.RETRIES_EXHAUSTED)
            if (outcome.reason in policy.freeRefusals) return RetryDecision.Again(RetryReason.NOT_RUN, 0)
        }
        failures += 1
        if (failures >= policy.maximumAttempts) return giveUp(exhaustedReason(outcome))
        val delay = policy.backoff.delayMilliseconds(failures, policy.random)
        if (nowMilliseconds + delay >= deadlineMilliseconds) return giveUp(exhaustedReason(outcome))
        if (!policy.budget.withdraw()) return giveUp(exhaustedReason(outcome))
        return RetryDecision.Again(retryReasonOf(outcome), delay)
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
 * The rules of retries at one entry.
 *
 * @property budget bounds the retries of all requests together.
 * @property random source of the jitter.
 * @property backoff delays between attempts.
 * @property maximumAttempts attempts at one request that count against the budget.
 * @property maximumRefusals refusals by agents after which a request is given up.
 */
public class RetryPolicy(
    public val budget: RetryBudget,
    public val random: Random,
    public val backoff: Backoff = Backoff(baseMilliseconds = 25, capMilliseconds = 1_000),
    public val maximumAttempts: Int = 4,
    public val maximumRefusals: Int = 16,
) {
    /** Refusals that another target, or the same one later, may not repeat. */
    internal val repeatableRefusals =
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

    /** Refusals that cost the target nothing and that the queue answers by choosing another target. */
    internal val freeRefusals =
        setOf(
            RefusalReason.TARGET_FULL,
            RefusalReason.TARGET_LEAVING,
            RefusalReason.FAILURE_DOMAIN_OUT,
            RefusalReason.SHUTTING_DOWN,
        )
}
