package toucanrelay.core.queue

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool

/**
 * Waiting requests of one organisation, as an entry states them to an agent.
 *
 * @property rank the organisation's place in the order of service; the lowest goes first.
 * @property share the organisation's share.
 * @property waiting requests that wait.
 * @property headCost expected service of the oldest, in service units.
 * @property headArrivedAtMilliseconds when the oldest arrived.
 */
public data class OrganisationDemand(
    public val organisation: OrganisationId,
    public val rank: Double,
    public val share: Double,
    public val waiting: Int,
    public val headCost: Double,
    public val headArrivedAtMilliseconds: Long,
)

/**
 * All that an entry states to one agent; replaces what it stated before.
 *
 * @property pools for each pool the organisations with waiting requests, the first to be served first.
 */
public data class DemandStatement(
    public val pools: PersistentMap<Pool, PersistentList<OrganisationDemand>> = persistentMapOf(),
) {
    /** Requests that the statement offers. */
    public val waiting: Int
        get() = pools.values.sumOf { organisations -> organisations.sumOf { it.waiting } }

    /** Whether [other] offers requests for the same pools. */
    public fun hasSamePools(other: DemandStatement): Boolean = pools.keys == other.pools.keys
}
