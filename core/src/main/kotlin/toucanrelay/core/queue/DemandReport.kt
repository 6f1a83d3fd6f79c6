package toucanrelay.core.queue

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool

/**
 * Waiting requests of one organisation, as an entry reports them to an agent.
 *
 * @property rank sort key from the [OrderingPolicy]; the lowest rank is served first.
 * @property share weight of the organisation in the fair division of service.
 * @property waiting number of waiting requests.
 * @property headCost expected cost of the oldest request, in service units.
 * @property headArrivedAtMilliseconds clock reading at the arrival of the oldest request.
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
 * The whole demand that an entry reports to one agent; replaces its previous report.
 *
 * @property pools the organisations with waiting requests in each pool, in the order of service.
 */
public data class DemandReport(
    public val pools: PersistentMap<Pool, PersistentList<OrganisationDemand>> = persistentMapOf(),
) {
    /** Number of waiting requests in all pools. */
    public val waiting: Int
        get() = pools.values.sumOf { organisations -> organisations.sumOf { it.waiting } }

    /** Returns whether [other] has demand for the same pools. */
    public fun hasSamePools(other: DemandReport): Boolean = pools.keys == other.pools.keys
}
