package toucanrelay.core.grant

import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.time.Clock

/**
 * Decides which organisation at which entry gets the next slot of a target, and tracks the outstanding grants.
 *
 * Not thread-safe.
 *
 * @param clock monotonic clock of this process.
 * @param policy order of the candidates.
 */
public class GrantScheduler(
    private val clock: Clock,
    private val policy: OrderingPolicy = LeastVirtualTime,
) {
    private val demands = DemandRegistry(clock)
    private val pending = LinkedHashMap<GrantId, PendingGrant>()
    private var lastId = 0L

    /** Number of grants that are neither used nor returned. */
    public val outstanding: Int
        get() = pending.size

    /** Replaces all demand reported earlier over [link]. */
    public fun updateDemand(link: LinkId, demand: List<OrganisationDemand>) {
        demands.update(link, demand)
    }

    /** Removes the closed [link] with its demand and grants. */
    public fun removeLink(link: LinkId) {
        demands.remove(link)
        pending.values.removeAll { it.key.link == link }
    }

    /** Returns whether a request without a grant waits for one of [pools]. */
    public fun hasDemand(pools: Set<Pool>): Boolean = demands.hasDemand(pools)

    /** Grants the next slot for one of [pools]; returns null when no request waits. */
    public fun grantNext(pools: Set<Pool>, lifetimeMilliseconds: Long): Grant? {
        val order = Comparator<Candidate>(policy::compare)
        val key =
            demands
                .candidates(pools)
                .entries
                .minWithOrNull(compareBy(order) { it.value })
                ?.key ?: return null
        val id = GrantId(++lastId)
        val now = clock.nowMilliseconds()
        pending[id] = PendingGrant(key, now, now + lifetimeMilliseconds)
        demands.recordGranted(key)
        return Grant(id, key.link, key.pool, key.organisation, lifetimeMilliseconds)
    }

    /**
     * Consumes the grant [id] for a request that arrived.
     *
     * @return milliseconds since the grant was made; null when it has expired, was returned or is for another pool or
     * organisation.
     */
    public fun consume(id: GrantId, pool: Pool, organisation: OrganisationId): Long? {
        val grant = pending[id]?.takeIf { it.key.pool == pool && it.key.organisation == organisation } ?: return null
        pending.remove(id)
        demands.recordServed(grant.key)
        return clock.nowMilliseconds() - grant.grantedAtMilliseconds
    }

    /** Revokes the grant [id], for which the entry of [link] has no request left. */
    public fun decline(id: GrantId, link: LinkId) {
        val grant = pending[id]?.takeIf { it.key.link == link } ?: return
        pending.remove(id)
        demands.recordDeclined(grant.key)
    }

    /** Revokes the expired grants and returns their number. */
    public fun expire(): Int {
        val now = clock.nowMilliseconds()
        val expired = pending.filterValues { it.expiresAtMilliseconds <= now }
        expired.forEach { (id, grant) ->
            pending.remove(id)
            demands.recordReturned(grant.key)
        }
        return expired.size
    }

    private data class PendingGrant(
        val key: DemandKey,
        val grantedAtMilliseconds: Long,
        val expiresAtMilliseconds: Long,
    )
}
