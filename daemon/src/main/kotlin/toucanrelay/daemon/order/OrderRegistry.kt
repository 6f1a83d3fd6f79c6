package toucanrelay.daemon.order

import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.RequestId
import toucanrelay.core.refusal.RefusalReason

/** Identifies a non-idempotent order by organisation, service and the caller's idempotency key. */
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

/** The answer returned to every call with the same order key. */
public class RecordedAnswer(
    public val status: Int,
    public val headers: PersistentList<RecordedHeader>,
    public val body: ByteArray,
)

/** Result of a call with an idempotency key that was not refused. */
public sealed interface OrderStart {
    /**
     * The order was claimed for this call, which has to run it.
     *
     * @property claim records the outcome of the order.
     */
    public data class Claimed(
        public val claim: OrderClaim,
    ) : OrderStart

    /**
     * The order already ran.
     *
     * @property answer the recorded answer.
     */
    public data class Finished(
        public val answer: RecordedAnswer,
    ) : OrderStart
}

/** Permission to send one order to one target once. Exactly one of its functions must be called, once. */
public interface OrderClaim {
    /** Records [answer] for later calls with the same key. */
    public suspend fun finish(answer: RecordedAnswer)

    /** Releases the claim; allowed only when it is certain that no target received the order. */
    public suspend fun release()

    /** Records the outcome as unknown; later calls with the same key are refused with `executed: "unknown"`. */
    public suspend fun abandon()
}

/** Ensures that each order with an idempotency key is sent to a target at most once in the whole fleet. */
public interface OrderRegistry {
    /**
     * Claims the order [key] for [request], or returns the reason why it must not run.
     *
     * @param bodyDigest SHA-256 of method, path and body, lower-case hexadecimal.
     */
    public suspend fun begin(key: OrderKey, bodyDigest: String, request: RequestId): Result<OrderStart, RefusalReason>
}
