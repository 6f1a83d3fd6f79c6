package toucanrelay.core.exchange

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import toucanrelay.core.fairness.ServiceAccount
import toucanrelay.core.identity.OrganisationId

/** An account, or what was added to one. */
public data class AccountEntry(
    public val organisation: OrganisationId,
    public val account: ServiceAccount,
)

/**
 * What one entry tells a neighbour in the exchange tree.
 *
 * @property sequence one for the first batch of a stream, then growing by one.
 * @property increments service since the batch before, to be added.
 * @property totals accounts after [increments], to be merged by maximum; all accounts when the batch is the first.
 * @property backlogged organisations with waiting work on the sender's side of the link; replaces what was told before.
 * @property floor the sender's system virtual time.
 * @property creditFloor the sender's [toucanrelay.core.fairness.FleetLedger.creditFloor]; only in the first batch.
 * @property oldestMilliseconds time since the oldest charge in [increments].
 */
public data class ExchangeBatch(
    public val sequence: Long,
    public val increments: PersistentList<AccountEntry> = persistentListOf(),
    public val totals: PersistentList<AccountEntry> = persistentListOf(),
    public val backlogged: PersistentSet<OrganisationId> = persistentSetOf(),
    public val floor: Double = 0.0,
    public val creditFloor: Double? = null,
    public val oldestMilliseconds: Long = 0,
) {
    /** Whether the batch opens its stream. */
    public val isOpening: Boolean
        get() = sequence == FIRST_SEQUENCE

    public companion object {
        /** The sequence of the first batch of a stream. */
        public const val FIRST_SEQUENCE: Long = 1
    }
}

/** Why a batch was not taken in; the stream is to be closed and opened anew. */
public sealed interface ExchangeError {
    /** No stream with this name is open. */
    public data object UnknownLink : ExchangeError

    /**
     * A batch is missing before this one.
     *
     * @property expected the sequence that should have come.
     * @property received the sequence that came.
     */
    public data class Gap(
        public val expected: Long,
        public val received: Long,
    ) : ExchangeError
}
