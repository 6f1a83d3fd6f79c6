package toucanrelay.core.exchange

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import toucanrelay.core.fairness.ChargeRounder
import toucanrelay.core.fairness.FleetLedger
import toucanrelay.core.fairness.ServiceAccount
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.time.Clock

/** Names one open stream to a neighbour within one process. */
@JvmInline
public value class ExchangeLinkId(
    public val value: Long,
)

/**
 * One entry's part in the exchange: its replica of the ledger, its own backlog, and its links to neighbours.
 *
 * Increments flood the tree: each is applied once at each entry and passed to every other neighbour. What can't be
 * expressed as an increment (a lift, the meeting of two parts) travels as totals that are merged by maximum, so that it
 * may arrive any number of times. Increments that a broken stream lost are made good by the totals too.
 *
 * Not safe for concurrent use.
 */
public class ServiceExchange(
    private val clock: Clock,
    private val ledger: FleetLedger,
) {
    private val steps = ChargeRounder()
    private val links = LinkedHashMap<ExchangeLinkId, ExchangeLink>()
    private val backloggedHere = LinkedHashSet<OrganisationId>()

    /** How many links are open. */
    public val linkCount: Int
        get() = links.size

    /** The organisations with waiting work anywhere in the fleet, as far as it is known here. */
    public val backlogged: Set<OrganisationId>
        get() = backloggedBeside(null)

    /** Adds a charge of [virtualTime] made here; negative for a refund. */
    public fun charge(organisation: OrganisationId, virtualTime: Double) {
        val charge = steps.roundDown(organisation, virtualTime)
        if (charge == 0.0) return
        spread(organisation, ServiceAccount.ofCharge(charge), clock.nowMilliseconds(), from = null)
    }

    /** The virtual time of [organisation] over the fleet as far as it is known here. */
    public fun virtualTime(organisation: OrganisationId): Double = ledger.account(organisation).virtualTime

    /** Notes that [organisation] has waiting work here, and lifts it when it had none anywhere. */
    public fun activate(organisation: OrganisationId) {
        if (organisation in backloggedHere) return
        if (organisation !in backlogged && ledger.lift(organisation)) announceRaise(organisation, from = null)
        backloggedHere += organisation
        ledger.observe(backlogged)
    }

    /** Notes that [organisation] has no waiting work here any more. */
    public fun deactivate(organisation: OrganisationId) {
        backloggedHere -= organisation
    }

    /** Moves the system virtual time on and limits how far organisations lag; call it before each round of batches. */
    public fun advance() {
        val everywhere = backlogged
        ledger.observe(everywhere)
        ledger.limitLag(everywhere).forEach { announceRaise(it, from = null) }
    }

    /** Opens the stream [link]; its first batch carries all totals. */
    public fun open(link: ExchangeLinkId) {
        links[link] = ExchangeLink()
    }

    /** Forgets the stream [link] with what was still to be sent on it. */
    public fun close(link: ExchangeLinkId) {
        links.remove(link)
    }

    /** Makes the next batch for [link]; null when it is not open. */
    public fun nextBatch(link: ExchangeLinkId): ExchangeBatch? =
        links[link]?.nextBatch(ledger, backloggedBeside(link), clock.nowMilliseconds())

    /** Takes in [batch] that came on [link]. */
    public fun receive(link: ExchangeLinkId, batch: ExchangeBatch): Result<Unit, ExchangeError> {
        val stream = links[link] ?: return Err(ExchangeError.UnknownLink)
        stream.note(batch)?.let { return Err(it) }
        val since = clock.nowMilliseconds() - batch.oldestMilliseconds
        batch.increments.forEach { spread(it.organisation, it.account, since, from = link) }
        batch.totals.forEach { takeTotal(it, batch.isOpening, from = link) }
        ledger.raiseFloor(batch.floor)
        batch.creditFloor?.let { limitCredit(maxOf(it, ledger.creditFloor)) }
        return Ok(Unit)
    }

    private fun takeTotal(total: AccountEntry, isOpening: Boolean, from: ExchangeLinkId) {
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

    private fun spread(
        organisation: OrganisationId,
        increment: ServiceAccount,
        sinceMilliseconds: Long,
        from: ExchangeLinkId?,
    ) {
        ledger.add(organisation, increment)
        links.forEach { (id, link) -> if (id != from) link.add(organisation, increment, sinceMilliseconds) }
    }

    private fun announceRaise(organisation: OrganisationId, from: ExchangeLinkId?) {
        links.forEach { (id, link) -> if (id != from) link.raise(organisation) }
    }

    private fun backloggedBeside(link: ExchangeLinkId?): Set<OrganisationId> =
        links.filterKeys { it != link }.values.flatMapTo(HashSet(backloggedHere)) { it.backloggedThere }
}
