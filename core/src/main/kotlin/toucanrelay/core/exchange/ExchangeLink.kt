package toucanrelay.core.exchange

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import toucanrelay.core.fairness.FleetLedger
import toucanrelay.core.fairness.ServiceAccount
import toucanrelay.core.identity.OrganisationId

/** The local end of an open stream to a neighbour, with the state of both directions. */
internal class ExchangeLink {
    private val pending = PendingIncrements()
    private val raisedAccounts = LinkedHashSet<OrganisationId>()
    private var lastSent = 0L
    private var lastReceived = 0L
    private var lastRepaired: OrganisationId? = null

    /** Organisations with waiting work on the neighbour's side. */
    var remoteBacklog: PersistentSet<OrganisationId> = persistentSetOf()
        private set

    private val isOpeningSent: Boolean
        get() = lastSent > 0

    /** Queues an increment; ignored before the opening batch, whose totals include it. */
    fun add(organisation: OrganisationId, increment: ServiceAccount, sinceMilliseconds: Long) {
        if (isOpeningSent) pending.add(organisation, increment, sinceMilliseconds)
    }

    /** Marks the account of [organisation], which was raised other than by an increment, to be sent as a total. */
    fun markRaised(organisation: OrganisationId) {
        if (isOpeningSent) raisedAccounts += organisation
    }

    /** Checks the sequence of [batch] and stores the backlog on the neighbour's side. */
    fun receive(batch: ExchangeBatch): ExchangeError? {
        if (batch.sequence != lastReceived + 1) return ExchangeError.Gap(lastReceived + 1, batch.sequence)
        lastReceived = batch.sequence
        remoteBacklog = batch.backlogged
        return null
    }

    /** Creates the next batch; [backlogged] are the organisations with waiting work on this side of the link. */
    fun nextBatch(ledger: FleetLedger, backlogged: Set<OrganisationId>, nowMilliseconds: Long): ExchangeBatch {
        lastSent++
        if (lastSent == ExchangeBatch.FIRST_SEQUENCE) return openingBatch(ledger, backlogged)
        val totals = raisedAccounts + organisationsToRepair(ledger)
        val increments = chooseIncrements(totals, backlogged).mapNotNull { pending.remove(it) }
        raisedAccounts.clear()
        return ExchangeBatch(
            sequence = lastSent,
            increments = increments.map { it.entry }.toPersistentList(),
            totals = totals.map { AccountEntry(it, ledger.account(it)) }.toPersistentList(),
            backlogged = backlogged.toPersistentSet(),
            floor = ledger.floor,
            oldestMilliseconds = increments.maxOfOrNull { nowMilliseconds - it.sinceMilliseconds } ?: 0,
        )
    }

    private fun openingBatch(ledger: FleetLedger, backlogged: Set<OrganisationId>) =
        ExchangeBatch(
            sequence = lastSent,
            totals =
                ledger.accounts
                    .map { (organisation, account) ->
                        AccountEntry(organisation, account)
                    }.toPersistentList(),
            backlogged = backlogged.toPersistentSet(),
            floor = ledger.floor,
            creditFloor = ledger.creditFloor,
        )

    // A total includes the pending increment of its account, so both go into one batch, where the increment is first.
    private fun chooseIncrements(totals: Set<OrganisationId>, backlogged: Set<OrganisationId>): List<OrganisationId> {
        val maxOthers = maxOf(MIN_OTHER_INCREMENTS, pending.size / OTHER_INCREMENTS_DIVISOR)
        return pending.choose({ it in totals || it in backlogged || it in remoteBacklog }, maxOthers)
    }

    private fun organisationsToRepair(ledger: FleetLedger): Set<OrganisationId> {
        val sorted = ledger.accounts.keys.sorted()
        if (sorted.isEmpty()) return emptySet()
        val start = sorted.indexOfFirst { candidate -> lastRepaired?.let { candidate > it } ?: true }.coerceAtLeast(0)
        val chosen = (0 until minOf(REPAIRS_PER_BATCH, sorted.size)).map { sorted[(start + it) % sorted.size] }
        lastRepaired = chosen.last()
        return chosen.toSet()
    }

    private companion object {
        /** Accounts sent as totals with each batch, in rotation, so that diverged replicas converge. */
        const val REPAIRS_PER_BATCH = 2

        /** Smallest limit on the increments of organisations without waiting work in one batch. */
        const val MIN_OTHER_INCREMENTS = 8

        /** The limit is the number of pending increments divided by this, but at least [MIN_OTHER_INCREMENTS]. */
        const val OTHER_INCREMENTS_DIVISOR = 16
    }
}
