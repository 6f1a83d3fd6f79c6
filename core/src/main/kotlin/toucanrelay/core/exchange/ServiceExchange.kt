package toucanrelay.core.exchange

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import toucanrelay.core.fairness.ChargeRounder
import toucanrelay.core.fairness.FleetLedger
import toucanrelay.core.fairness.ServiceAccount
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.time.Clock

/** Identifies an open stream to a neighbour within one process. */
@JvmInline
public value class ExchangeLinkId(
    public val value: Long,
)

/**
 * The state of one entry in the exchange: its replica of the ledger, its own backlog, and its links to neighbours.
 *
 * Increments flood the tree: each is applied once at each entry and forwarded to every other neighbour. Changes other
 * than increments (a lift, or the end of a partition) are sent as totals, which are merged by maximum and are therefore
 * idempotent. Totals also restore increments that were lost with a broken stream.
 *
 * Not thread-safe.
 */
public class ServiceExchange(
    private val clock: Clock,
    private val ledger: FleetLedger,
) {
    private val rounder = ChargeRounder()
    private val links = LinkedHashMap<ExchangeLinkId, ExchangeLink>()
    private val localBacklog = LinkedHashSet<OrganisationId>()

    /** Number of open links. */
    public val linkCount: Int
        get() = links.size

    /** Organisations with waiting work anywhere in the fleet, as far as known here. */
    public val backlogged: Set<OrganisationId>
        get() = backlogExcept(null)

    /** Adds a local charge of [virtualTime], negative for a refund, and forwards it. */
    public fun charge(organisation: OrganisationId, virtualTime: Double) {
        val charge = rounder.roundDown(organisation, virtualTime)
        if (charge == 0.0) return
        propagate(organisation, ServiceAccount.ofCharge(charge), clock.nowMilliseconds(), from = null)
    }

    /** Returns the virtual time of [organisation] in the fleet, as far as known here. */
    public fun virtualTime(organisation: OrganisationId): Double = ledger.account(organisation).virtualTime

    /** Records that [organisation] has waiting work here, and lifts it if it had no waiting work anywhere. */
    public fun activate(organisation: OrganisationId) {
        if (organisation in localBacklog) return
        if (organisation !in backlogged && ledger.lift(organisation)) announceRaise(organisation, from = null)
        localBacklog += organisation
        ledger.recordBacklog(backlogged)
    }

    /** Records that [organisation] has no waiting work here any more. */
    public fun deactivate(organisation: OrganisationId) {
        localBacklog -= organisation
    }

    /** Advances the system virtual time and limits the lag of organisations; call it before each round of batches. */
    public fun advance() {
        val backlogOfFleet = backlogged
        ledger.recordBacklog(backlogOfFleet)
        ledger.limitLag(backlogOfFleet).forEach { announceRaise(it, from = null) }
    }

    /** Opens the stream [link]; its first batch carries all totals. */
    public fun open(link: ExchangeLinkId) {
        links[link] = ExchangeLink()
    }

    /** Closes the stream [link] and discards its unsent increments and totals. */
    public fun close(link: ExchangeLinkId) {
        links.remove(link)
    }

    /** Creates the next batch for [link]; null when it is not open. */
    public fun nextBatch(link: ExchangeLinkId): ExchangeBatch? =
        links[link]?.nextBatch(ledger, backlogExcept(link), clock.nowMilliseconds())

    /** Applies [batch], which was received on [link]. */
    public fun receive(link: ExchangeLinkId, batch: ExchangeBatch): Result<Unit, ExchangeError> {
        val stream = links[link] ?: return Err(ExchangeError.UnknownLink)
        stream.receive(batch)?.let { return Err(it) }
        val sinceMilliseconds = clock.nowMilliseconds() - batch.oldestMilliseconds
        batch.increments.forEach { propagate(it.organisation, it.account, sinceMilliseconds, from = link) }
        batch.totals.forEach { mergeTotal(it, batch.isOpening, from = link) }
        ledger.raiseFloor(batch.floor)
        batch.creditFloor?.let { limitCredit(maxOf(it, ledger.creditFloor)) }
        return Ok(Unit)
    }

    private fun mergeTotal(total: AccountEntry, isOpening: Boolean, from: ExchangeLinkId) {
        val isRaised =
            if (isOpening) {
                ledger.join(total.organisation, total.account)
            } else {
                ledger.merge(total.organisation, total.account)
            }
        if (isRaised) announceRaise(total.organisation, from)
    }

    private fun limitCredit(creditFloor: Double) {
        ledger.accounts.keys
            .filter { ledger.raise(it, creditFloor) }
            .forEach { announceRaise(it, from = null) }
    }

    private fun propagate(
        organisation: OrganisationId,
        increment: ServiceAccount,
        sinceMilliseconds: Long,
        from: ExchangeLinkId?,
    ) {
        ledger.add(organisation, increment)
        links.forEach { (id, link) -> if (id != from) link.add(organisation, increment, sinceMilliseconds) }
    }

    private fun announceRaise(organisation: OrganisationId, from: ExchangeLinkId?) {
        links.forEach { (id, link) -> if (id != from) link.markRaised(organisation) }
    }

    private fun backlogExcept(link: ExchangeLinkId?): Set<OrganisationId> =
        links.filterKeys { it != link }.values.flatMapTo(HashSet(localBacklog)) { it.remoteBacklog }
}
