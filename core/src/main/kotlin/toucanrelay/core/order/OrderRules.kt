package toucanrelay.core.order

import toucanrelay.core.refusal.RefusalReason

/** What a process that found [OrderRecord] for its order does next. */
public sealed interface OrderVerdict {
    /** The record is the process's own claim; it may send the order. */
    public data object OwnClaim : OrderVerdict

    /**
     * The order ran before.
     *
     * @property record holds the first outcome.
     */
    public data class Replay<out Answer>(
        public val record: OrderRecord.Finished<Answer>,
    ) : OrderVerdict

    /**
     * The holder of the claim did not record an outcome in time: record that it is not known.
     *
     * @property record the record to write.
     */
    public data class Expire(
        public val record: OrderRecord.Unknown,
    ) : OrderVerdict

    /**
     * The order must not be sent.
     *
     * @property reason why.
     */
    public data class Refuse(
        public val reason: RefusalReason,
    ) : OrderVerdict
}

/**
 * The rules under which an order is sent to a target once at most.
 *
 * Safety rests on the conditional write of the claim alone. Wall clocks decide only when a claim without an outcome is
 * reported as unknown instead of running, and neither report lets the order be sent again.
 *
 * @property clockMarginMilliseconds by how much the wall clocks of two instances may differ.
 */
public class OrderRules(
    private val clockMarginMilliseconds: Long = 5_000,
) {
    /** Judges [record] for the process that holds [token] and wants to send an order with [bodyDigest]. */
    public fun judge(
        record: OrderRecord,
        token: ClaimToken,
        bodyDigest: String,
        nowEpochMilliseconds: Long,
    ): OrderVerdict =
        when {
            record.bodyDigest != bodyDigest -> {
                OrderVerdict.Refuse(RefusalReason.IDEMPOTENCY_KEY_REUSED)
            }

            record is OrderRecord.Finished<*> -> {
                OrderVerdict.Replay(record)
            }

            record is OrderRecord.Unknown -> {
                OrderVerdict.Refuse(RefusalReason.ORDER_OUTCOME_UNKNOWN)
            }

            record is OrderRecord.Claimed && record.token == token -> {
                OrderVerdict.OwnClaim
            }

            record is OrderRecord.Claimed && isExpired(record, nowEpochMilliseconds) -> {
                OrderVerdict.Expire(OrderRecord.Unknown(record.token, record.bodyDigest))
            }

            else -> {
                OrderVerdict.Refuse(RefusalReason.ORDER_RUNNING)
            }
        }

    /** Whether the holder of [token] may replace [record] with the answer that it got. */
    public fun mayFinish(record: OrderRecord, token: ClaimToken): Boolean =
        record.token == token && record !is OrderRecord.Finished<*>

    /** Whether the holder of [token], which proved that no target got the order, may remove [record]. */
    public fun mayRelease(record: OrderRecord, token: ClaimToken): Boolean = mayFinish(record, token)

    private fun isExpired(record: OrderRecord.Claimed, nowEpochMilliseconds: Long): Boolean =
        nowEpochMilliseconds > record.expiresAtEpochMilliseconds + clockMarginMilliseconds
}
