package toucanrelay.daemon.order

import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.RequestId
import toucanrelay.core.refusal.RefusalReason

/** Names a non-idempotent order: the caller's idempotency key within its organisation and the service. */
public data class OrderKey(
    public val organisation: OrganisationId,
    public val service: String,
    public val idempotencyKey: String,
)

/** A header of a recorded answer. */
public data class RecordedHeader(
    public val name: String,
    public val value: String,
)

/** The answer that every call with the same order key gets. */
public class RecordedAnswer(
    public val status: Int,
    public val headers: PersistentList<RecordedHeader>,
    public val body: ByteArray,
)

/** What a caller with an idempotency key gets to do. */
public sealed interface OrderStart {
    /**
     * The order is this caller's to run.
     *
     * @property claim settles the order.
     */
    public data class Claimed(
        public val claim: OrderClaim,
    ) : OrderStart

    /**
     * The order ran before.
     *
     * @property answer the first outcome.
     */
    public data class Finished(
        public val answer: RecordedAnswer,
    ) : OrderStart
}

/** The right to send one order to one target once. Exactly one of its functions is called, once. */
public interface OrderClaim {
    /** Records the outcome for later calls with the same key. */
    public suspend fun finish(answer: RecordedAnswer)

    /** Gives the claim back; only when it is proved that no target got the order. */
    public suspend fun release()

    /** Records that the outcome is not known; later calls with the same key get `executed: "unknown"`. */
    public suspend fun abandon()
}

/** Lets each order with an idempotency key be sent to a target once at most, over the whole fleet. */
public interface OrderDesk {
    /**
     * Claims the order [key] for [request], or tells why it may not run.
     *
     * @param bodyDigest SHA-256 of method, path and body, lower-case hexadecimal.
     */
    public suspend fun begin(key: OrderKey, bodyDigest: String, request: RequestId): Result<OrderStart, RefusalReason>
}
