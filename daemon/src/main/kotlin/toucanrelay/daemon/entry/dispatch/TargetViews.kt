package toucanrelay.daemon.entry.dispatch

import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.TargetId
import toucanrelay.core.queue.WaitingRequest
import toucanrelay.core.routing.Candidate
import toucanrelay.core.time.Clock
import toucanrelay.daemon.entry.link.AgentLink
import toucanrelay.daemon.fleet.BundleRegister

/** An entry's views of the targets that it is linked to, and which of them are in service; guarded by the dispatcher's lock. */
internal class TargetViews(
    private val clock: Clock,
    private val bundles: BundleRegister,
    private val reconnectGraceMilliseconds: Long,
) {
    private val views = LinkedHashMap<AgentLink, TargetView>()

    /** Instances that are about to leave, whose targets are no longer in service. */
    var leaving: Set<InstanceId> = emptySet()

    operator fun get(link: AgentLink): TargetView? = views[link]

    fun add(link: AgentLink) {
        views[link] = TargetView(link, clock.nowMilliseconds())
    }

    fun remove(link: AgentLink) {
        views.remove(link)
    }

    /** Returns the view of the target of [link] if it is usable and in service. */
    fun inService(link: AgentLink): TargetView? = views[link]?.takeIf { it.isUsable && isInService(it) }

    /** Returns the views of the usable targets that announce [pool]. */
    fun usable(pool: Pool): List<TargetView> = views.values.filter { it.isUsable && pool in it.pools }

    /** Returns the view of the usable [target]. */
    fun usable(target: TargetId): TargetView = views.values.first { it.target == target && it.isUsable }

    /** Returns the targets in service that may serve [request]. */
    fun candidatesFor(request: WaitingRequest): List<Candidate> {
        val now = clock.nowMilliseconds()
        return usable(request.pool)
            .filter { isInService(it) }
            .map { it.candidateFor(request, now) }
    }

    /** Returns whether no target is expected to serve [pool]. */
    fun isUnserved(pool: Pool): Boolean = views.values.none { isExpectedToServe(it, pool) }

    private fun isExpectedToServe(view: TargetView, pool: Pool): Boolean =
        isInService(view) && servesOrWillServe(view, pool)

    private fun servesOrWillServe(view: TargetView, pool: Pool): Boolean =
        if (view.mayBecomeUsable(clock.nowMilliseconds(), reconnectGraceMilliseconds)) {
            bundledPools(view)?.contains(pool) == true
        } else {
            view.isUsable && pool in view.pools
        }

    private fun isInService(view: TargetView): Boolean =
        view.link.record.instance !in leaving && bundles.current.value?.isInService(view.target) == true

    private fun bundledPools(view: TargetView): Set<Pool>? =
        bundles.current.value
            ?.targets
            ?.get(view.target)
            ?.pools
}
