package toucanrelay.core.order

/**
 * Identifies one claim, and distinguishes it from an earlier claim of the same process whose answer was lost.
 *
 * @property value random value, unique in the fleet.
 */
@JvmInline
public value class ClaimToken(
    public val value: String,
)

/**
 * The stored state of one order, from its claim to its outcome.
 *
 * Allowed transitions: from [Claimed] to [Finished], [Unknown] or removal, and from [Unknown] to [Finished] by the
 * holder of the token.
 */
public sealed interface OrderRecord {
    /** The claim that authorises sending the order. */
    public val token: ClaimToken

    /** SHA-256 of method, path and body in lower-case hexadecimal. */
    public val bodyDigest: String

    /**
     * The order is claimed; the holder of [token] may have sent it.
     *
     * @property expiresAtEpochMilliseconds time by which a live holder has recorded an outcome.
     */
    public data class Claimed(
        override val token: ClaimToken,
        override val bodyDigest: String,
        public val expiresAtEpochMilliseconds: Long,
    ) : OrderRecord

    /**
     * The order ran and was answered.
     *
     * @property answer the answer, in the encoding of the process that recorded it.
     */
    public data class Finished<out Answer>(
        override val token: ClaimToken,
        override val bodyDigest: String,
        public val answer: Answer,
    ) : OrderRecord

    /** The order may have run; its answer is lost. */
    public data class Unknown(
        override val token: ClaimToken,
        override val bodyDigest: String,
    ) : OrderRecord
}
