package toucanrelay.daemon.entry.dispatch

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import toucanrelay.core.bundle.Bundle
import toucanrelay.core.bundle.OrganisationLimits
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.RequestId
import toucanrelay.core.queue.DemandReport
import toucanrelay.core.queue.OrganisationDemand
import toucanrelay.core.queue.RequestQueues
import toucanrelay.core.queue.WaitingRequest
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.core.routing.ByteBudget
import toucanrelay.core.routing.RoutingPolicy
import toucanrelay.core.time.Clock
import toucanrelay.daemon.entry.EntryMeters
import toucanrelay.daemon.entry.EntryTuning
import toucanrelay.daemon.entry.ServiceAccounting
import toucanrelay.daemon.entry.link.AgentLink
import toucanrelay.daemon.entry.link.AgentSession
import toucanrelay.daemon.entry.link.DemandSource
import toucanrelay.daemon.entry.link.LinkListener
import toucanrelay.daemon.entry.link.LinkMembershipListener
import toucanrelay.daemon.fleet.BundleRegister
import toucanrelay.wire.CacheChange
import toucanrelay.wire.Capacity
import toucanrelay.wire.EntryMessage
import toucanrelay.wire.Grant
import toucanrelay.wire.GrantDeclined
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Assigns waiting requests to targets: immediately where capacity is announced, else by the agents' grants. */
internal class Dispatcher(
    private val clock: Clock,
    private val bundles: BundleRegister,
    private val accounting: ServiceAccounting,
    private val routing: RoutingPolicy,
    private val budget: ByteBudget,
    private val tuning: EntryTuning,
    private val meters: EntryMeters,
) : LinkListener,
    LinkMembershipListener,
    DemandSource {
    private val lock = ReentrantLock()
    private val queues = RequestQueues { organisation -> limitsOf(bundles, organisation) }
    private val tickets = HashMap<RequestId, Ticket>()
    private val views = TargetViews(clock, bundles, tuning.reconnectGraceMilliseconds)
    private var sweptBundle: Bundle? = null
    private var isRefusingAll = false

    /** Whether any agent has reported since the start which pools its target serves. */
    @Volatile
    var hasSeenTarget: Boolean = false
        private set

    val totalWaiting: Int
        get() = lock.withLock { queues.totalWaiting }

    val totalInFlight: Int
        get() = lock.withLock { queues.totalInFlight }

    /** Returns why [request] would be refused now; null when it would be accepted. */
    fun check(request: WaitingRequest): RefusalReason? =
        lock.withLock { refusalOf(request.pool) ?: queues.refusalOf(request) }

    /** Queues a new request, or refuses it immediately. */
    fun submit(request: WaitingRequest): Result<Ticket, RefusalReason> =
        lock.withLock {
            refusalOf(request.pool)?.let { return Err(it) }
            queues.enqueue(request).map { addTicket(request) }
        }

    /** Queues [request] again for another attempt. */
    fun resubmit(request: WaitingRequest): Ticket =
        lock.withLock {
            queues.requeue(request)
            val refusal = refusalOf(request.pool)
            if (refusal == null) addTicket(request) else Ticket(request).also { giveUp(it, refusal) }
        }

    /** Removes a request from the queue; returns false when it was already assigned to a target. */
    fun withdraw(ticket: Ticket): Boolean =
        lock.withLock {
            tickets.remove(ticket.request.id)
            val wasWaiting = queues.withdraw(ticket.request)
            if (wasWaiting) onDequeued(ticket.request)
            wasWaiting
        }

    /** Records that a request of [organisation] that was assigned to a target is no longer in flight. */
    fun finish(organisation: OrganisationId) =
        lock.withLock {
            queues.finish(organisation)
            queues.pools.filter { queues.depth(it, organisation) > 0 }.forEach(::dispatch)
        }

    /** Records that the target of [assignment] refused the request. */
    fun recordRefusal(assignment: Assignment) =
        lock.withLock {
            assignment.announcement?.let { views[assignment.link]?.capacity?.recordEnd(it) }
            views[assignment.link]?.capacity?.recordRefusal(now())
        }

    /** Records that the attempt on the target of [assignment] ended. */
    fun recordEnd(assignment: Assignment) =
        lock.withLock {
            val view = views[assignment.link]
            if (view != null && assignment.announcement != null) {
                view.capacity.recordEnd(assignment.announcement)
                queues.pools.filter { it in view.pools }.forEach(::dispatch)
            }
        }

    /** Refuses all waiting requests because of the shutdown, and from now on all that are submitted or resubmitted. */
    fun refuseAll() =
        lock.withLock {
            isRefusingAll = true
            queues.pools.forEach { giveUp(it, RefusalReason.SHUTTING_DOWN) }
        }

    /** Gives up requests that can no longer be served, and dispatches those that may now be sent to another region. */
    fun sweep() =
        lock.withLock {
            withdrawForbidden()
            queues.pools.forEach { pool ->
                val refusal = refusalOf(pool)
                if (refusal == null) dispatch(pool) else giveUp(pool, refusal)
            }
        }

    /** Returns whether no target is expected to serve [pool]. */
    fun isPoolUnserved(pool: Pool): Boolean = lock.withLock { views.isUnserved(pool) }

    override fun onLinkAdded(link: AgentLink) =
        lock.withLock {
            views.add(link)
        }

    override fun onLinkRemoved(link: AgentLink) =
        lock.withLock {
            views.remove(link)
            link.signalDemandChange()
        }

    override fun onLeaving(instances: Set<InstanceId>) =
        lock.withLock {
            views.leaving = instances
        }

    override fun onConnected(link: AgentLink, session: AgentSession) =
        lock.withLock {
            views[link]?.recordConnection(session, now())
            Unit
        }

    override fun onDisconnected(link: AgentLink) =
        lock.withLock {
            views[link]?.recordDisconnection(now())
            Unit
        }

    override fun onCapacity(link: AgentLink, capacity: Capacity) =
        lock.withLock {
            val view = views[link] ?: return
            val poolsBefore = view.pools
            view.update(capacity)
            if (view.pools.isNotEmpty()) hasSeenTarget = true
            if (view.pools != poolsBefore) link.signalDemandChange()
            queues.pools.filter { it in view.pools }.forEach(::dispatch)
        }

    override fun onGrant(link: AgentLink, grant: Grant) =
        lock.withLock {
            link.recordGrant()
            val view = views.inService(link)
            val request = view?.let { requestFor(grant, it) }
            if (request == null) decline(link, grant) else assign(request, view, grant.grantId, null)
        }

    override fun onCacheChange(link: AgentLink, change: CacheChange) =
        lock.withLock {
            views[link]?.prefixes?.apply(change.addedList, change.removedList, change.reset)
            Unit
        }

    override fun demandFor(link: AgentLink): DemandReport =
        lock.withLock {
            val view = views[link]?.takeIf { it.isUsable } ?: return DemandReport()
            val pools =
                queues.pools
                    .filter { it in view.pools }
                    .associateWith { pool -> demandFor(pool, view).toPersistentList() }
                    .filterValues { it.isNotEmpty() }
            DemandReport(pools.toPersistentMap())
        }

    private fun demandFor(pool: Pool, view: TargetView): List<OrganisationDemand> =
        queues
            .heads(pool, accounting.policy)
            .filter { isAssignable(it, view) }
            .take(tuning.maxDemandOrganisations)
            .map { head ->
                OrganisationDemand(
                    organisation = head.organisation,
                    rank = accounting.policy.rank(head),
                    share = accounting.reportedShare(head.organisation),
                    waiting = queues.depth(pool, head.organisation),
                    headCost = head.cost,
                    headArrivedAtMilliseconds = head.arrivedAtMilliseconds,
                )
            }

    private fun requestFor(grant: Grant, view: TargetView): WaitingRequest? {
        val organisation = OrganisationId(grant.organisation)
        if (!queues.mayStart(organisation)) return null
        return queues.waitingIn(Pool.named(grant.pool), organisation).firstOrNull { isAssignable(it, view) }
    }

    private fun isAssignable(request: WaitingRequest, view: TargetView): Boolean {
        val candidate = view.candidateFor(request, now())
        if (routing.isLocal(candidate) && view.target !in request.refusedBy) return true
        return routing.isGrantAllowed(request, candidate, views.candidatesFor(request), now())
    }

    private fun addTicket(request: WaitingRequest): Ticket {
        val ticket = Ticket(request)
        tickets[request.id] = ticket
        if (queues.waitingOf(request.organisation) == 1) accounting.activate(request.organisation)
        dispatch(request.pool)
        return ticket
    }

    private fun dispatch(pool: Pool) {
        while (views.usable(pool).any { it.capacity.available(now()) > 0 }) {
            val started = queues.heads(pool, accounting.policy).any(::tryAssign)
            if (!started) break
        }
        signalDemandChange(pool)
    }

    private fun tryAssign(request: WaitingRequest): Boolean {
        val chosen = routing.choose(request, views.candidatesFor(request), now()) ?: return false
        val view = views.usable(chosen.target)
        assign(request, view, grantId = 0, announcement = view.capacity.recordSend())
        return true
    }

    private fun assign(
        request: WaitingRequest,
        view: TargetView,
        grantId: Long,
        announcement: Long?,
    ) {
        val session = checkNotNull(view.session)
        val isRemote = !routing.isLocal(view.candidateFor(request, now()))
        if (isRemote) budget.reserve(routing.linkBytes(request))
        queues.start(request)
        accounting.charge(request.organisation, request.cost)
        onDequeued(request)
        val ticket = tickets.remove(request.id)
        meters.recordWait(now() - request.arrivedAtMilliseconds)
        ticket?.decision?.complete(Ok(Assignment(view.link, session, grantId, announcement, isRemote)))
    }

    /** Replaces the bytes reserved for [request] with those actually sent over the link to another region. */
    fun settleRemote(request: WaitingRequest, usedBytes: Long) =
        lock.withLock { budget.settle(routing.linkBytes(request), usedBytes) }

    private fun decline(link: AgentLink, grant: Grant) {
        meters.grantsDeclined.increment()
        link.session.value?.send(
            EntryMessage
                .newBuilder()
                .setGrantDeclined(GrantDeclined.newBuilder().setGrantId(grant.grantId))
                .build(),
        )
    }

    /** Gives up requests that a new bundle no longer allows. */
    private fun withdrawForbidden() {
        val bundle = bundles.current.value
        if (bundle == null || bundle === sweptBundle) return
        sweptBundle = bundle
        queues.pools.flatMap { queues.waitingIn(it).toList() }.forEach { request ->
            val settings = bundle.organisations[request.organisation]
            val reason = if (settings == null) RefusalReason.UNKNOWN_KEY else RefusalReason.FORBIDDEN_POOL
            if (settings?.mayUse(request.pool) != true) tickets[request.id]?.let { giveUp(it, reason) }
        }
    }

    private fun giveUp(pool: Pool, reason: RefusalReason) =
        queues.waitingIn(pool).toList().forEach { request ->
            tickets[request.id]?.let { giveUp(it, reason) }
        }

    private fun giveUp(ticket: Ticket, reason: RefusalReason) {
        tickets.remove(ticket.request.id)
        if (queues.withdraw(ticket.request)) onDequeued(ticket.request)
        ticket.decision.complete(Err(reason))
    }

    private fun onDequeued(request: WaitingRequest) {
        if (queues.waitingOf(request.organisation) == 0) accounting.deactivate(request.organisation)
        signalDemandChange(request.pool)
    }

    private fun signalDemandChange(pool: Pool) = views.usable(pool).forEach { it.link.signalDemandChange() }

    /** Returns why requests for [pool] are refused; null when they are accepted. */
    private fun refusalOf(pool: Pool): RefusalReason? =
        when {
            isRefusingAll -> RefusalReason.SHUTTING_DOWN
            views.isUnserved(pool) -> RefusalReason.NO_TARGET
            else -> null
        }

    private fun now() = clock.nowMilliseconds()
}

/** Returns the limits of [organisation]; all zero when it is not in the bundle. */
private fun limitsOf(bundles: BundleRegister, organisation: OrganisationId): OrganisationLimits =
    bundles.current.value
        ?.organisations
        ?.get(organisation)
        ?.limits ?: OrganisationLimits(waitingRequests = 0, inFlightRequests = 0, bodyBytes = 0)
