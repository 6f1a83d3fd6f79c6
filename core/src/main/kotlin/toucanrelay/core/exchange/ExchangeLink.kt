package toucanrelay.core.exchange

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import toucanrelay.core.fairness.FleetLedger
import toucanrelay.core.fairness.ServiceAccount
import toucanrelay.core.identity.OrganisationId

/** One entry's end of an open stream to a neighbour: what is still to be sent and what was received. */
internal class ExchangeLink {
    private val pending = PendingIncrements()
    private val raised = LinkedHashSet<OrganisationId>()
    private var lastSent = 0L
    private var lastReceived = 0L
    private var repairedLast: OrganisationId? = null

    /** Organisations with waiting work on the neighbour's side. */
    var backloggedThere: PersistentSet<OrganisationId> = persistentSetOf()
        private set

    private val isOpeningSent: Boolean
        get() = lastSent > 0

    /** Queues an increment; before the opening batch the totals hold it already. */
    fun add(organisation: OrganisationId, increment: ServiceAccount, sinceMilliseconds: Long) {
        if (isOpeningSent) pending.add(organisation, increment, sinceMilliseconds)
    }

    /** Notes that the account of [organisation] was raised by other than an increment. */
    fun raise(organisation: OrganisationId) {
        if (isOpeningSent) raised += organisation
    }

    /** Checks the order of [batch] and notes what the neighbour's side waits for. */
    fun note(batch: ExchangeBatch): ExchangeError? {
        if (batch.sequence != lastReceived + 1) return ExchangeError.Gap(lastReceived + 1, batch.sequence)
        lastReceived = batch.sequence
        backloggedThere = batch.backlogged
        return null
    }

    /** Makes the next batch; [backlogged] are the organisations that wait on this side of the link. */
    fun nextBatch(ledger: FleetLedger, backlogged: Set<OrganisationId>, nowMilliseconds: Long): ExchangeBatch {
        lastSent++
        if (lastSent == ExchangeBatch.FIRST_SEQUENCE) return openingBatch(ledger, backlogged)
        val totals = raised + organisationsToRepair(ledger)
        val taken = chooseIncrements(totals, backlogged).mapNotNull { pending.take(it) }
        raised.clear()
        return ExchangeBatch(
            sequence = lastSent,
            increments = taken.map { it.entry }.toPersistentList(),
            totals = totals.map { AccountEntry(it, ledger.account(it)) }.toPersistentList(),
            backlogged = backlogged.toPersistentSet(),
            floor = ledger.floor,
            oldestMilliseconds = taken.maxOfOrNull { nowMilliseconds - it.sinceMilliseconds } ?: 0,
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

    // Totals hold the whole account, so what is pending of it goes into the same batch, before them.
    private fun chooseIncrements(totals: Set<OrganisationId>, backlogged: Set<OrganisationId>): List<OrganisationId> {
        val others = maxOf(LEAST_OTHERS, pending.size / OTHERS_DIVISOR)
        return pending.choose({ it in totals || it in backlogged || it in backloggedThere }, others)
    }

    private fun organisationsToRepair(ledger: FleetLedger): Set<OrganisationId> {
        val sorted = ledger.accounts.keys.sorted()
        if (sorted.isEmpty()) return emptySet()
        val start = sorted.indexOfFirst { last -> repairedLast?.let { last > it } ?: true }.coerceAtLeast(0)
        val chosen = (0 until minOf(REPAIRS, sorted.size)).map { sorted[(start + it) % sorted.size] }
        repairedLast = chosen.last()
        return chosen.toSet()
    }

    private companion object {
        /** Accounts sent whole with each batch, in turn, so that replicas that differ come together again. */
        const val REPAIRS = 2

        /** Increments of organisations without waiting work in one batch, at least. */
        const val LEAST_OTHERS = 8

        /** Part of the organisations without waiting work whose increments go into one batch. */
        const val OTHERS_DIVISOR = 16
    }
}
