package toucanrelay.daemon.agent.link

import toucanrelay.core.grant.Grant
import toucanrelay.core.grant.LinkId
import toucanrelay.daemon.agent.work.EntryNotifier
import toucanrelay.wire.AgentMessage
import toucanrelay.wire.CacheChange
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import toucanrelay.wire.Grant as WireGrant

/** Registry of the open control streams. */
internal class EntryLinks : EntryNotifier {
    private val open = ConcurrentHashMap<LinkId, EntryLink>()
    private val lastId = AtomicLong()

    override val links: List<LinkId>
        get() = open.keys.sortedBy { it.value }

    fun nextId(): LinkId = LinkId(lastId.incrementAndGet())

    fun add(link: EntryLink) {
        open[link.id] = link
        signalCapacityChange()
    }

    fun remove(link: EntryLink) {
        open.remove(link.id)
        signalCapacityChange()
    }

    override fun send(grant: Grant) {
        val message =
            WireGrant
                .newBuilder()
                .setGrantId(grant.id.value)
                .setPool(grant.pool.name)
                .setOrganisation(grant.organisation.value)
                .setExpiresInMilliseconds(grant.expiresInMilliseconds)
        open[grant.link]?.send(AgentMessage.newBuilder().setGrant(message).build())
    }

    override fun signalCapacityChange() {
        open.values.forEach { it.capacityChanges.trySend(Unit) }
    }

    /** Sends a change of the target's prefix cache to all entries. */
    fun send(change: CacheChange) {
        val message = AgentMessage.newBuilder().setCacheChange(change).build()
        open.values.forEach { it.send(message) }
    }

    /** Requests an immediate heartbeat to each entry. */
    fun requestHeartbeats() {
        open.values.forEach { it.heartbeatRequests.trySend(Unit) }
    }
}
