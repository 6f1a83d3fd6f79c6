package toucanrelay.core.fairness

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.time.Clock

/**
 * One node's replica of the virtual time of each organisation over the fleet.
 *
 * Start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996): an organisation's virtual time grows by service divided
 * by share, and one that becomes backlogged is lifted to the system virtual time, so that idleness banks no credit. The
 * system virtual time is the least virtual time of the backlogged organisations, and never falls.
 *
 * Not safe for concurrent use.
 */
public class FleetLedger(
    private val clock: Clock,
    terms: FairnessTerms = FairnessTerms(),
) {
    private val leastBacklogged = WindowedMinimum(terms.settlingMilliseconds)
    private val earlierFloor = DelayedMaximum(terms.rejoinCreditMilliseconds)
    private val earlierLead = DelayedMaximum(terms.lagLimitMilliseconds)

    /** All accounts by organisation. */
    public var accounts: PersistentMap<OrganisationId, ServiceAccount> = persistentMapOf()
        private set

    /** The system virtual time. */
    public var floor: Double = 0.0
        private set

    /** What the system virtual time was before the credit that organisations keep when parts of the fleet meet. */
    public val creditFloor: Double
        get() = earlierFloor.value

    /** The account of [organisation]; empty when it never received service. */
    public fun account(organisation: OrganisationId): ServiceAccount = accounts[organisation] ?: ServiceAccount()

    /** Adds [increment] to the account of [organisation]. */
    public fun add(organisation: OrganisationId, increment: ServiceAccount) {
        accounts = accounts.put(organisation, account(organisation) + increment)
    }

    /** Lifts [organisation], which becomes backlogged, to the system virtual time; true when that raised it. */
    public fun lift(organisation: OrganisationId): Boolean = raise(organisation, floor)

    /** Takes in the account that a replica holds with which increments are exchanged; true when that raised it. */
    public fun merge(organisation: OrganisationId, other: ServiceAccount): Boolean =
        raiseTo(organisation, account(organisation).highest(other))

    /** Takes in the account that a replica holds that was apart; true when that raised it. */
    public fun join(organisation: OrganisationId, other: ServiceAccount): Boolean =
        raiseTo(organisation, account(organisation).join(other))

    /** Raises [organisation] to at least [virtualTime]; true when that raised it. */
    public fun raise(organisation: OrganisationId, virtualTime: Double): Boolean =
        raiseTo(organisation, account(organisation).raisedTo(virtualTime))

    /** Takes in the system virtual time of another replica. */
    public fun raiseFloor(other: Double) {
        floor = maxOf(floor, other)
    }

    /** Notes which organisations are [backlogged] anywhere in the fleet; call it regularly and on each change. */
    public fun observe(backlogged: Set<OrganisationId>) {
        val now = clock.nowMilliseconds()
        leastBacklogged.observe(now, backlogged.minOfOrNull { account(it).virtualTime })
        leastBacklogged.value?.let { raiseFloor(it) }
        earlierFloor.observe(now, floor)
        earlierLead.observe(now, backlogged.maxOfOrNull { account(it).virtualTime })
    }

    /** Raises each of [backlogged] that lags behind the leading organisation beyond the limit, and returns those. */
    public fun limitLag(backlogged: Set<OrganisationId>): List<OrganisationId> =
        backlogged.filter { raise(it, earlierLead.value) }

    // Replicas add the same increments in differing order; a difference by rounding is no raise.
    private fun raiseTo(organisation: OrganisationId, raised: ServiceAccount): Boolean {
        if (!raised.exceeds(account(organisation))) return false
        accounts = accounts.put(organisation, raised)
        return true
    }
}
