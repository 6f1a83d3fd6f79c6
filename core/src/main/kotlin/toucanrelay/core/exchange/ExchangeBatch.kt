package toucanrelay.core.exchange

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import toucanrelay.core.fairness.ServiceAccount
import toucanrelay.core.identity.OrganisationId

/** The account of an organisation, or an increment to it. */
public data class AccountEntry(
    public val organisation: OrganisationId,
    public val account: ServiceAccount,
)

/**
 * One message of an entry to a neighbour in the exchange tree.
 *
 * @property sequence 1 for the first batch of a stream, then increasing by 1.
 * @property increments service since the previous batch, to be added.
 * @property totals accounts after [increments], to be merged by maximum; the first batch holds all accounts.
 * @property backlogged organisations with waiting work on the sender's side of the link; replaces the previous set.
 * @property floor the sender's system virtual time.
 * @property creditFloor the sender's [toucanrelay.core.fairness.FleetLedger.creditFloor]; only in the first batch.
 * @property oldestMilliseconds age of the oldest charge in [increments].
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
    /** Whether the batch is the first of its stream. */
    public val isOpening: Boolean
        get() = sequence == FIRST_SEQUENCE

    public companion object {
        /** The sequence number of the first batch of a stream. */
        public const val FIRST_SEQUENCE: Long = 1
    }
}

/** Reason to reject a batch; the stream must be closed and reopened. */
public sealed interface ExchangeError {
    /** No stream with this ID is open. */
    public data object UnknownLink : ExchangeError

    /**
     * The batch is out of sequence.
     *
     * @property expected the sequence number that was due.
     * @property received the sequence number that arrived.
     */
    public data class Gap(
        public val expected: Long,
        public val received: Long,
    ) : ExchangeError
}
