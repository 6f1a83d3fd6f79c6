package toucanrelay.core.retry

import toucanrelay.core.refusal.Executed
import toucanrelay.core.refusal.RefusalReason

/** How an attempt ended that did not yield a complete answer. */
public sealed interface AttemptOutcome {
    /**
     * The agent confirmed that the target did not receive the request in this attempt.
     *
     * A request refused as a duplicate may have run in the attempt that it duplicates.
     *
     * @property reason why the agent refused.
     */
    public data class Refused(
        public val reason: RefusalReason,
    ) : AttemptOutcome

    /** The link was down, so the request was not sent. */
    public data object NeverSent : AttemptOutcome

    /** The link broke after the request was sent and the answer could not be resumed. */
    public data object Lost : AttemptOutcome

    /**
     * The agent reported that the target failed.
     *
     * @property reason the kind of failure.
     * @property executed whether the target may have run the request.
     */
    public data class Failed(
        public val reason: RefusalReason,
        public val executed: Executed,
    ) : AttemptOutcome

    /** Whether the target may have run the request in this attempt. */
    public val mayHaveRun: Boolean
        get() =
            when (this) {
                is Refused -> reason == RefusalReason.DUPLICATE_REQUEST
                is NeverSent -> false
                is Lost -> true
                is Failed -> executed == Executed.UNKNOWN
            }
}
