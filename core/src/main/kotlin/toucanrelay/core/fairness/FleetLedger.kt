package toucanrelay.core.fairness

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.time.Clock

/**
 * One node's replica of the virtual time of each organisation across the fleet.
 *
 * Start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996): an organisation's virtual time grows by service
 * divided by share, and one that becomes backlogged is lifted to the system virtual time, so that it accumulates no
 * credit while idle. The system virtual time is the minimum virtual time of the backlogged organisations and never
 * decreases.
 *
 * Not thread-safe.
 */
public class FleetLedger(
    private val clock: Clock,
    settings: FairnessSettings = FairnessSettings(),
) {
    private val minBacklogged = WindowedMinimum(settings.settlingMilliseconds)
    private val delayedFloor = DelayedMaximum(settings.rejoinCreditMilliseconds)
    private val delayedLead = DelayedMaximum(settings.lagLimitMilliseconds)

    /** All accounts by organisation. */
    public var accounts: PersistentMap<OrganisationId, ServiceAccount> = persistentMapOf()
        private set

    /** The system virtual time. */
    public var floor: Double = 0.0
        private set

    /** The system virtual time before it grew by the rejoin credit; lower bound of virtual times after a partition. */
    public val creditFloor: Double
        get() = delayedFloor.value

    /** Returns the account of [organisation]; empty when it never received service. */
    public fun account(organisation: OrganisationId): ServiceAccount = accounts[organisation] ?: ServiceAccount()

    /** Adds [increment] to the account of [organisation]. */
    public fun add(organisation: OrganisationId, increment: ServiceAccount) {
        accounts = accounts.put(organisation, account(organisation) + increment)
    }

    /** Lifts [organisation], which becomes backlogged, to the system virtual time; returns whether that raised it. */
    public fun lift(organisation: OrganisationId): Boolean = raise(organisation, floor)

    /**
     * Merges the account of a replica that exchanges increments with this one, by the maximum of each sum.
     *
     * @return whether that raised the account.
     */
    public fun merge(organisation: OrganisationId, other: ServiceAccount): Boolean =
        raiseTo(organisation, account(organisation).merge(other))

    /**
     * Joins the account of a replica that was partitioned from this one, by the greater virtual time.
     *
     * @return whether that raised the account.
     */
    public fun join(organisation: OrganisationId, other: ServiceAccount): Boolean =
        raiseTo(organisation, account(organisation).join(other))

    /** Raises [organisation] to at least [virtualTime]; returns whether its account changed. */
    public fun raise(organisation: OrganisationId, virtualTime: Double): Boolean =
        raiseTo(organisation, account(organisation).raisedTo(virtualTime))

    /** Raises the system virtual time to at least that of another replica. */
    public fun raiseFloor(other: Double) {
        floor = maxOf(floor, other)
    }

    /**
     * Records which organisations are [backlogged] anywhere in the fleet, and advances the system virtual time.
     *
     * Call it regularly and on each change.
     */
    public fun recordBacklog(backlogged: Set<OrganisationId>) {
        val now = clock.nowMilliseconds()
        minBacklogged.record(now, backlogged.minOfOrNull { account(it).virtualTime })
        minBacklogged.value?.let { raiseFloor(it) }
        delayedFloor.record(now, floor)
        delayedLead.record(now, backlogged.maxOfOrNull { account(it).virtualTime })
    }

    /** Raises each organisation in [backlogged] that lags the leading one beyond the limit; returns those raised. */
    public fun limitLag(backlogged: Set<OrganisationId>): List<OrganisationId> =
        backlogged.filter { raise(it, delayedLead.value) }

    // Replicas add the same increments in different orders; a rounding difference does not count as a raise.
    private fun raiseTo(organisation: OrganisationId, raised: ServiceAccount): Boolean {
        if (!raised.exceeds(account(organisation))) return false
        accounts = accounts.put(organisation, raised)
        return true
    }
}
