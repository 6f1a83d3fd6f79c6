package toucanrelay.daemon.entry.dispatch

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.TargetId
import toucanrelay.core.queue.WaitingRequest
import toucanrelay.core.routing.Candidate
import toucanrelay.core.routing.FreeCapacity
import toucanrelay.core.routing.Location
import toucanrelay.core.routing.PrefixIndex
import toucanrelay.daemon.entry.link.AgentLink
import toucanrelay.daemon.entry.link.AgentSession
import toucanrelay.wire.Capacity

/** An entry's view of the target at the other end of one link; guarded by the dispatcher's lock. */
internal class TargetView(
    val link: AgentLink,
    addedAtMilliseconds: Long,
) {
    val prefixes = PrefixIndex()
    val capacity = FreeCapacity()
    var session: AgentSession? = null
        private set
    var pools: PersistentSet<Pool> = persistentSetOf()
        private set
    private var limit = 0
    private var isDraining = false
    private var isCapacityKnown = false
    private var linkChangedAtMilliseconds = addedAtMilliseconds

    val target: TargetId = link.record.target ?: TargetId(link.record.instance.value)
    val location =
        Location(RegionId(link.record.region.value), FailureDomainId(link.record.failureDomain.value))

    /** Whether the link is up and the agent has not reported that it is draining. */
    val isUsable: Boolean
        get() = session != null && !isDraining

    fun recordConnection(newSession: AgentSession, nowMilliseconds: Long) {
        session = newSession
        linkChangedAtMilliseconds = nowMilliseconds
        isDraining = false
        isCapacityKnown = false
        limit = 0
        capacity.recordAnnouncement(0)
        prefixes.apply(emptyList(), emptyList(), isReset = true)
    }

    fun recordDisconnection(nowMilliseconds: Long) {
        session = null
        limit = 0
        capacity.recordAnnouncement(0)
        linkChangedAtMilliseconds = nowMilliseconds
    }

    fun update(announcement: Capacity) {
        isCapacityKnown = true
        limit = announcement.limit
        capacity.recordAnnouncement(announcement.free)
        isDraining = announcement.draining
        pools = announcement.poolsList.map { Pool.named(it) }.toPersistentSet()
    }

    /**
     * Returns whether the target may become usable soon.
     *
     * That is the case while a connected agent has not announced its capacity, and for [graceMilliseconds] after the
     * link was added or broke, or after it connected to an agent that announces no pools.
     */
    fun mayBecomeUsable(nowMilliseconds: Long, graceMilliseconds: Long): Boolean {
        val isRecent = nowMilliseconds - linkChangedAtMilliseconds < graceMilliseconds
        return when {
            session == null -> isRecent
            !isCapacityKnown -> true
            else -> pools.isEmpty() && isRecent
        }
    }

    fun candidateFor(request: WaitingRequest, nowMilliseconds: Long): Candidate =
        Candidate(
            target = target,
            location = location,
            limit = limit,
            free = capacity.available(nowMilliseconds),
            holdsPrefix = request.prefixHash?.let { it in prefixes } == true,
        )
}
