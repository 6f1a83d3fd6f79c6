package toucanrelay.core.order

/**
 * Tells one claim from every other, also from a claim of the same process whose answer was lost.
 *
 * @property value random and unique over the fleet.
 */
@JvmInline
public value class ClaimToken(
    public val value: String,
)

/**
 * What is recorded of one order, from its claim to its outcome.
 *
 * A record only moves forward: [Claimed] to [Finished], [Unknown] or removal, and [Unknown] to [Finished] by the holder
 * of its token.
 */
public sealed interface OrderRecord {
    /** The claim under which the order may be sent. */
    public val token: ClaimToken

    /** SHA-256 of method, path and body, lower-case hexadecimal. */
    public val bodyDigest: String

    /**
     * The holder of [token] may have sent the order.
     *
     * @property expiresAtEpochMilliseconds when a holder that is alive has recorded an outcome.
     */
    public data class Claimed(
        override val token: ClaimToken,
        override val bodyDigest: String,
        public val expiresAtEpochMilliseconds: Long,
    ) : OrderRecord

    /**
     * The order ran and this is its answer.
     *
     * @property answer the answer in the recorder's encoding.
     */
    public data class Finished<out Answer>(
        override val token: ClaimToken,
        override val bodyDigest: String,
        public val answer: Answer,
    ) : OrderRecord

    /** The order may have run; nobody knows its answer. */
    public data class Unknown(
        override val token: ClaimToken,
        override val bodyDigest: String,
    ) : OrderRecord
}
