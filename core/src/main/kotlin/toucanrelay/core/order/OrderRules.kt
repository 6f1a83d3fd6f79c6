package toucanrelay.core.order

import toucanrelay.core.refusal.RefusalReason

/** What a process has to do with its order after it found an [OrderRecord] for it. */
public sealed interface OrderDecision {
    /** The record is the process's own claim, so it may send the order. */
    public data object OwnClaim : OrderDecision

    /**
     * The order has already run; its recorded answer is returned again.
     *
     * @property record the record with the answer.
     */
    public data class Replay<out Answer>(
        public val record: OrderRecord.Finished<Answer>,
    ) : OrderDecision

    /**
     * The holder of the claim did not record an outcome in time, so the outcome is recorded as unknown.
     *
     * @property record the record to write.
     */
    public data class Expire(
        public val record: OrderRecord.Unknown,
    ) : OrderDecision

    /**
     * The order must not be sent.
     *
     * @property reason why it is refused.
     */
    public data class Refuse(
        public val reason: RefusalReason,
    ) : OrderDecision
}

/**
 * Decides whether an order may be sent, so that it reaches a target at most once.
 *
 * Safety depends only on the conditional write of the claim. Wall clocks only decide when a claim without an outcome
 * is reported as unknown instead of running, and neither state lets the order be sent again.
 *
 * @property clockMarginMilliseconds maximum difference between the wall clocks of two instances.
 */
public class OrderRules(
    private val clockMarginMilliseconds: Long = 5_000,
) {
    /** Decides on [record] for the process that holds [token] and is about to send an order with [bodyDigest]. */
    public fun decide(
        record: OrderRecord,
        token: ClaimToken,
        bodyDigest: String,
        nowEpochMilliseconds: Long,
    ): OrderDecision =
        when {
            record.bodyDigest != bodyDigest -> {
                OrderDecision.Refuse(RefusalReason.IDEMPOTENCY_KEY_REUSED)
            }

            record is OrderRecord.Finished<*> -> {
                OrderDecision.Replay(record)
            }

            record is OrderRecord.Unknown -> {
                OrderDecision.Refuse(RefusalReason.ORDER_OUTCOME_UNKNOWN)
            }

            record is OrderRecord.Claimed && record.token == token -> {
                OrderDecision.OwnClaim
            }

            record is OrderRecord.Claimed && isExpired(record, nowEpochMilliseconds) -> {
                OrderDecision.Expire(OrderRecord.Unknown(record.token, record.bodyDigest))
            }

            else -> {
                OrderDecision.Refuse(RefusalReason.ORDER_RUNNING)
            }
        }

    /** Returns whether the holder of [token] may replace [record] with the answer it received. */
    public fun mayFinish(record: OrderRecord, token: ClaimToken): Boolean =
        record.token == token && record !is OrderRecord.Finished<*>

    /** Returns whether the holder of [token], knowing that no target received the order, may remove [record]. */
    public fun mayRelease(record: OrderRecord, token: ClaimToken): Boolean = mayFinish(record, token)

    private fun isExpired(record: OrderRecord.Claimed, nowEpochMilliseconds: Long): Boolean =
        nowEpochMilliseconds > record.expiresAtEpochMilliseconds + clockMarginMilliseconds
}
