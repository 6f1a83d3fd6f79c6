package toucanrelay.core.queue

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentSet
import toucanrelay.core.bundle.OrganisationLimits
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.RequestId
import toucanrelay.core.refusal.RefusalReason

/** Gives the limits of an organisation as the bundle in force states them. */
public fun interface LimitsLookup {
    /** The limits of [organisation]. */
    public fun limitsOf(organisation: OrganisationId): OrganisationLimits
}

/**
 * The requests that wait at one entry, by pool and organisation, and the count of those that run.
 *
 * A request is waiting from [enqueue] until [start] or [withdraw], and in flight from [start] until [finish] or
 * [requeue]. Limits of the organisations hold at every moment.
 *
 * @param limits the organisations' limits.
 */
public class RequestQueues(
    private val limits: LimitsLookup,
) {
    private var queues: PersistentMap<Pool, PersistentMap<OrganisationId, OrganisationQueue>> = persistentMapOf()
    private var waiting: PersistentMap<OrganisationId, Int> = persistentMapOf()
    private var inFlight: PersistentMap<OrganisationId, Int> = persistentMapOf()

    /** Pools that have waiting requests. */
    public val pools: PersistentSet<Pool>
        get() = queues.keys.toPersistentSet()

    /** All waiting requests. */
    public val totalWaiting: Int
        get() = waiting.values.sum()

    /** All requests in flight. */
    public val totalInFlight: Int
        get() = inFlight.values.sum()

    /** Requests of [organisation] that wait. */
    public fun waitingOf(organisation: OrganisationId): Int = waiting[organisation] ?: 0

    /** Requests of [organisation] that run. */
    public fun inFlightOf(organisation: OrganisationId): Int = inFlight[organisation] ?: 0

    /** The limit of its organisation that [request] exceeds; null when it may be taken in. */
    public fun refusalOf(request: WaitingRequest): RefusalReason? {
        val terms = limits.limitsOf(request.organisation)
        return when {
            request.bodyBytes > terms.bodyBytes -> RefusalReason.BODY_TOO_LARGE
            inFlightOf(request.organisation) >= terms.inFlightRequests -> RefusalReason.TOO_MANY_IN_FLIGHT
            waitingOf(request.organisation) >= terms.waitingRequests -> RefusalReason.TOO_MANY_WAITING
            else -> null
        }
    }

    /** Takes in a new request, or refuses it because of the organisation's limits. */
    public fun enqueue(request: WaitingRequest): Result<Unit, RefusalReason> =
        refusalOf(request)?.let { Err(it) } ?: Ok(put(request) { it.addLast(request) })

    /** Puts back a request that was in flight, before all that arrived after it; limits do not apply again. */
    public fun requeue(request: WaitingRequest) {
        finish(request.organisation)
        put(request) { it.addFirst(request) }
    }

    /** Moves a waiting request into flight. */
    public fun start(request: WaitingRequest) {
        check(remove(request)) { "request ${request.id} does not wait" }
        inFlight = inFlight.put(request.organisation, inFlightOf(request.organisation) + 1)
    }

    /** Removes a waiting request that is given up; false when it does not wait. */
    public fun withdraw(request: WaitingRequest): Boolean = remove(request)

    /** Ends a request of [organisation] that was in flight. */
    public fun finish(organisation: OrganisationId) {
        val count = inFlightOf(organisation)
        check(count > 0) { "organisation $organisation has no request in flight" }
        inFlight = if (count == 1) inFlight.remove(organisation) else inFlight.put(organisation, count - 1)
    }

    /** Whether [organisation] may have one more request in flight. */
    public fun mayStart(organisation: OrganisationId): Boolean =
        inFlightOf(organisation) < limits.limitsOf(organisation).inFlightRequests

    /** The oldest request of each organisation that may start one in [pool], the lowest rank first. */
    public fun heads(pool: Pool, policy: OrderingPolicy): List<WaitingRequest> {
        val heads =
            queues[pool]
                .orEmpty()
                .filterKeys(::mayStart)
                .values
                .map { it.head() }
        return if (heads.size <
            2
        ) {
            heads
        } else {
            heads.map { it to policy.rank(it) }.sortedWith(RANK_ORDER).map { it.first }
        }
    }

    /** Requests of [organisation] that wait in [pool], the oldest first. */
    public fun waitingIn(pool: Pool, organisation: OrganisationId): Sequence<WaitingRequest> =
        queues[pool]?.get(organisation)?.requests().orEmpty()

    /** How many requests of [organisation] wait in [pool]. */
    public fun depth(pool: Pool, organisation: OrganisationId): Int = queues[pool]?.get(organisation)?.size ?: 0

    /** All requests that wait in [pool]. */
    public fun waitingIn(pool: Pool): Sequence<WaitingRequest> =
        queues[pool]
            .orEmpty()
            .values
            .asSequence()
            .flatMap { it.requests() }

    private fun put(request: WaitingRequest, change: (OrganisationQueue) -> OrganisationQueue) {
        val ofPool = queues[request.pool] ?: persistentMapOf()
        val queue = ofPool[request.organisation] ?: OrganisationQueue()
        queues = queues.put(request.pool, ofPool.put(request.organisation, change(queue)))
        waiting = waiting.put(request.organisation, waitingOf(request.organisation) + 1)
    }

    private fun remove(request: WaitingRequest): Boolean {
        val ofPool = queues[request.pool] ?: return false
        val queue = ofPool[request.organisation] ?: return false
        if (!queue.contains(request.id)) return false
        val rest = queue.remove(request.id)
        val newPool =
            if (rest.size ==
                0
            ) {
                ofPool.remove(request.organisation)
            } else {
                ofPool.put(request.organisation, rest)
            }
        queues = if (newPool.isEmpty()) queues.remove(request.pool) else queues.put(request.pool, newPool)
        val left = waitingOf(request.organisation) - 1
        waiting = if (left == 0) waiting.remove(request.organisation) else waiting.put(request.organisation, left)
        return true
    }

    private companion object {
        val RANK_ORDER =
            compareBy<Pair<WaitingRequest, Double>> { it.second }
                .thenBy { it.first.arrivedAtMilliseconds }
                .thenBy { it.first.organisation }
    }
}

/** Waiting requests of one organisation for one pool, in the order of arrival. */
private class OrganisationQueue(
    private val requests: PersistentMap<RequestId, WaitingRequest> = persistentMapOf(),
) {
    val size: Int
        get() = requests.size

    fun contains(id: RequestId): Boolean = requests.containsKey(id)

    fun head(): WaitingRequest = requests.values.first()

    fun requests(): Sequence<WaitingRequest> = requests.values.asSequence()

    fun addLast(request: WaitingRequest): OrganisationQueue = OrganisationQueue(requests.put(request.id, request))

    fun addFirst(request: WaitingRequest): OrganisationQueue =
        OrganisationQueue(
            persistentMapOf<RequestId, WaitingRequest>().mutate { map ->
                val (older, younger) =
                    requests.values.partition { it.arrivedAtMilliseconds < request.arrivedAtMilliseconds }
                (older + request + younger).forEach { map[it.id] = it }
            },
        )

    fun remove(id: RequestId): OrganisationQueue = OrganisationQueue(requests.remove(id))
}
