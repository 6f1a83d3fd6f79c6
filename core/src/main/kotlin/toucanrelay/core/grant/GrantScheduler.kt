package toucanrelay.core.grant

import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.time.Clock

/**
 * Picks which entry and organisation gets the next slot of a target, and keeps the grants that are on their way.
 *
 * Not safe for use by several threads at once.
 *
 * @param clock monotonic clock of this process.
 * @param policy order of the candidates.
 */
public class GrantScheduler(
    private val clock: Clock,
    private val policy: OrderingPolicy = LeastVirtualTime,
) {
    private val board = DemandBoard(clock)
    private val pending = LinkedHashMap<GrantId, PendingGrant>()
    private var lastId = 0L

    /** Grants that are neither used nor returned. */
    public val outstanding: Int
        get() = pending.size

    /** Replaces all demand that [link] stated before. */
    public fun state(link: LinkId, demand: List<OrganisationDemand>) {
        board.state(link, demand)
    }

    /** Drops the demand and the grants of [link], which is closed. */
    public fun forget(link: LinkId) {
        board.forget(link)
        pending.values.removeAll { it.key.link == link }
    }

    /** Whether any request waits for one of [pools] that no grant covers. */
    public fun hasDemand(pools: Set<Pool>): Boolean = board.hasDemand(pools)

    /** Grants the next slot for one of [pools]; null when nothing waits. */
    public fun next(pools: Set<Pool>, lifeMilliseconds: Long): Grant? {
        val order = Comparator<Candidate>(policy::compare)
        val key =
            board
                .candidates(pools)
                .entries
                .minWithOrNull(compareBy(order) { it.value })
                ?.key ?: return null
        val id = GrantId(++lastId)
        val now = clock.nowMilliseconds()
        pending[id] = PendingGrant(key, now, now + lifeMilliseconds)
        board.granted(key)
        return Grant(id, key.link, key.pool, key.organisation, lifeMilliseconds)
    }

    /**
     * Notes that a request for [id] arrived.
     *
     * @return how long the grant was on its way; null when it has expired, was returned or is for something else.
     */
    public fun served(id: GrantId, pool: Pool, organisation: OrganisationId): Long? {
        val grant = pending[id]?.takeIf { it.key.pool == pool && it.key.organisation == organisation } ?: return null
        pending.remove(id)
        board.served(grant.key)
        return clock.nowMilliseconds() - grant.grantedAt
    }

    /** Notes that the entry of [link] has no request for [id] any more. */
    public fun declined(id: GrantId, link: LinkId) {
        val grant = pending[id]?.takeIf { it.key.link == link } ?: return
        pending.remove(id)
        board.declined(grant.key)
    }

    /** Takes back the grants whose time is over and returns how many those were. */
    public fun expire(): Int {
        val now = clock.nowMilliseconds()
        val expired = pending.filterValues { it.expiresAt <= now }
        expired.forEach { (id, grant) ->
            pending.remove(id)
            board.returned(grant.key)
        }
        return expired.size
    }

    private data class PendingGrant(
        val key: DemandKey,
        val grantedAt: Long,
        val expiresAt: Long,
    )
}
