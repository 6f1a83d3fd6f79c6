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

/** Looks up the limits of an organisation in the active bundle. */
public fun interface LimitsLookup {
    /** Returns the limits of [organisation]. */
    public fun limitsOf(organisation: OrganisationId): OrganisationLimits
}

/**
 * The waiting requests of one entry by pool and organisation, and the number of requests in flight.
 *
 * A request is waiting from [enqueue] until [start] or [withdraw], and in flight from [start] until [finish] or
 * [requeue]. The limits of the organisations are enforced at all times.
 *
 * @param limits the organisations' limits.
 */
public class RequestQueues(
    private val limits: LimitsLookup,
) {
    private var queues: PersistentMap<Pool, PersistentMap<OrganisationId, OrganisationQueue>> = persistentMapOf()
    private var waiting: PersistentMap<OrganisationId, Int> = persistentMapOf()
    private var inFlight: PersistentMap<OrganisationId, Int> = persistentMapOf()

    /** Pools with waiting requests. */
    public val pools: PersistentSet<Pool>
        get() = queues.keys.toPersistentSet()

    /** Number of all waiting requests. */
    public val totalWaiting: Int
        get() = waiting.values.sum()

    /** Number of all requests in flight. */
    public val totalInFlight: Int
        get() = inFlight.values.sum()

    /** Returns the number of waiting requests of [organisation]. */
    public fun waitingOf(organisation: OrganisationId): Int = waiting[organisation] ?: 0

    /** Returns the number of requests of [organisation] in flight. */
    public fun inFlightOf(organisation: OrganisationId): Int = inFlight[organisation] ?: 0

    /** Returns the reason to refuse [request] under the limits of its organisation; null when it can be enqueued. */
    public fun refusalOf(request: WaitingRequest): RefusalReason? {
        val organisationLimits = limits.limitsOf(request.organisation)
        return when {
            request.bodyBytes > organisationLimits.bodyBytes -> RefusalReason.BODY_TOO_LARGE
            inFlightOf(request.organisation) >= organisationLimits.inFlightRequests -> RefusalReason.TOO_MANY_IN_FLIGHT
            waitingOf(request.organisation) >= organisationLimits.waitingRequests -> RefusalReason.TOO_MANY_WAITING
            else -> null
        }
    }

    /** Adds a new request, or refuses it if it exceeds the organisation's limits. */
    public fun enqueue(request: WaitingRequest): Result<Unit, RefusalReason> =
        refusalOf(request)?.let { Err(it) } ?: Ok(insert(request) { it.addLast(request) })

    /** Moves a request in flight back to its queue, in the order of arrival; limits are not checked again. */
    public fun requeue(request: WaitingRequest) {
        finish(request.organisation)
        insert(request) { it.insertByArrival(request) }
    }

    /** Marks a waiting request as in flight. */
    public fun start(request: WaitingRequest) {
        check(remove(request)) { "request ${request.id} is not waiting" }
        inFlight = inFlight.put(request.organisation, inFlightOf(request.organisation) + 1)
    }

    /** Removes a waiting request; returns false if it is not waiting. */
    public fun withdraw(request: WaitingRequest): Boolean = remove(request)

    /** Records that one request of [organisation] in flight has ended. */
    public fun finish(organisation: OrganisationId) {
        val count = inFlightOf(organisation)
        check(count > 0) { "organisation $organisation has no request in flight" }
        inFlight = if (count == 1) inFlight.remove(organisation) else inFlight.put(organisation, count - 1)
    }

    /** Returns whether the limits allow one more request of [organisation] in flight. */
    public fun mayStart(organisation: OrganisationId): Boolean =
        inFlightOf(organisation) < limits.limitsOf(organisation).inFlightRequests

    /** Returns the oldest request in [pool] of each organisation that may start another one, the lowest rank first. */
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

    /** Returns the waiting requests of [organisation] in [pool], the oldest first. */
    public fun waitingIn(pool: Pool, organisation: OrganisationId): Sequence<WaitingRequest> =
        queues[pool]?.get(organisation)?.requests().orEmpty()

    /** Returns the number of waiting requests of [organisation] in [pool]. */
    public fun depth(pool: Pool, organisation: OrganisationId): Int = queues[pool]?.get(organisation)?.size ?: 0

    /** Returns all waiting requests in [pool]. */
    public fun waitingIn(pool: Pool): Sequence<WaitingRequest> =
        queues[pool]
            .orEmpty()
            .values
            .asSequence()
            .flatMap { it.requests() }

    private fun insert(request: WaitingRequest, change: (OrganisationQueue) -> OrganisationQueue) {
        val poolQueues = queues[request.pool] ?: persistentMapOf()
        val queue = poolQueues[request.organisation] ?: OrganisationQueue()
        queues = queues.put(request.pool, poolQueues.put(request.organisation, change(queue)))
        waiting = waiting.put(request.organisation, waitingOf(request.organisation) + 1)
    }

    private fun remove(request: WaitingRequest): Boolean {
        val poolQueues = queues[request.pool] ?: return false
        val queue = poolQueues[request.organisation] ?: return false
        if (!queue.contains(request.id)) return false
        val remaining = queue.remove(request.id)
        val newQueues =
            if (remaining.size ==
                0
            ) {
                poolQueues.remove(request.organisation)
            } else {
                poolQueues.put(request.organisation, remaining)
            }
        queues = if (newQueues.isEmpty()) queues.remove(request.pool) else queues.put(request.pool, newQueues)
        val count = waitingOf(request.organisation) - 1
        waiting = if (count == 0) waiting.remove(request.organisation) else waiting.put(request.organisation, count)
        return true
    }

    private companion object {
        val RANK_ORDER =
            compareBy<Pair<WaitingRequest, Double>> { it.second }
                .thenBy { it.first.arrivedAtMilliseconds }
                .thenBy { it.first.organisation }
    }
}

/** Waiting requests of one organisation in one pool, in the order of arrival. */
private class OrganisationQueue(
    private val requests: PersistentMap<RequestId, WaitingRequest> = persistentMapOf(),
) {
    val size: Int
        get() = requests.size

    fun contains(id: RequestId): Boolean = requests.containsKey(id)

    fun head(): WaitingRequest = requests.values.first()

    fun requests(): Sequence<WaitingRequest> = requests.values.asSequence()

    fun addLast(request: WaitingRequest): OrganisationQueue = OrganisationQueue(requests.put(request.id, request))

    fun insertByArrival(request: WaitingRequest): OrganisationQueue =
        OrganisationQueue(
            persistentMapOf<RequestId, WaitingRequest>().mutate { map ->
                val (earlier, later) =
                    requests.values.partition { it.arrivedAtMilliseconds < request.arrivedAtMilliseconds }
                (earlier + request + later).forEach { map[it.id] = it }
            },
        )

    fun remove(id: RequestId): OrganisationQueue = OrganisationQueue(requests.remove(id))
}
