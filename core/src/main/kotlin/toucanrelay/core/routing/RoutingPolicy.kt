package toucanrelay.core.routing

import toucanrelay.core.queue.WaitingRequest

/**
 * Chooses a target for a request among those that serve its pool.
 *
 * A target that holds the request's prefix comes first while its load is bounded; then one in the same failure domain,
 * then one in the same region, the least loaded first. Another region is used only when the own region cannot serve in
 * time, and within the byte budget of the link. The bound on the load follows V. Mirrokni, M. Thorup, M. Zadimoghaddam,
 * "Consistent hashing with bounded loads", SODA 2018.
 *
 * @param own where this entry runs.
 * @param budget bytes that may go over links to other regions.
 * @param remoteWaitMilliseconds wait after which the own region is held unable to serve in time.
 */
public class RoutingPolicy(
    private val own: Location,
    private val budget: ByteBudget,
    private val remoteWaitMilliseconds: Long = 250,
) {
    /** The target to which [request] is sent now without a grant; null when it has to wait. */
    public fun choose(request: WaitingRequest, candidates: List<Candidate>, nowMilliseconds: Long): Candidate? {
        if (request.isGrantOnly) return null
        val usable = candidates.filter { it.free > 0 && !isTriedLast(request, it, candidates) }
        val (local, remote) = usable.partition(::isLocal)
        return when {
            local.isNotEmpty() -> best(local, meanLoad(candidates.filter(::isLocal)))
            remote.isEmpty() || !mayUseRemote(request, candidates, nowMilliseconds) -> null
            else -> best(remote, meanLoad(remote))
        }
    }

    /** Whether [request] may go to [candidate] by a grant. */
    public fun mayBind(
        request: WaitingRequest,
        candidate: Candidate,
        candidates: List<Candidate>,
        nowMilliseconds: Long,
    ): Boolean =
        !isTriedLast(request, candidate, candidates) &&
            (isLocal(candidate) || mayUseRemote(request, candidates, nowMilliseconds))

    /** Whether [request] may leave the region: its own region cannot serve it in time and the budget allows it. */
    public fun mayUseRemote(request: WaitingRequest, candidates: List<Candidate>, nowMilliseconds: Long): Boolean {
        val hasLocal = candidates.any { isLocal(it) && it.limit > 0 }
        val isLate = nowMilliseconds - request.arrivedAtMilliseconds >= remoteWaitMilliseconds
        return (!hasLocal || isLate) && budget.isAvailable(linkBytes(request))
    }

    /** Whether [candidate] is in this entry's region. */
    public fun isLocal(candidate: Candidate): Boolean = candidate.location.region == own.region

    /** Bytes that [request] and its answer are expected to put on a link. */
    public fun linkBytes(request: WaitingRequest): Long = request.bodyBytes + request.expectedAnswerBytes

    /** Whether [candidate] refused the request before and there is another that did not. */
    private fun isTriedLast(request: WaitingRequest, candidate: Candidate, candidates: List<Candidate>): Boolean =
        candidate.target in request.refusedBy && candidates.any { it.target !in request.refusedBy }

    private fun best(usable: List<Candidate>, meanLoad: Double): Candidate =
        usable.minWith(
            compareByDescending<Candidate> { it.holdsPrefix && it.load <= loadBound(meanLoad) }
                .thenByDescending { it.location.failureDomain == own.failureDomain }
                .thenBy { it.load }
                .thenByDescending { it.free }
                .thenBy { it.target },
        )

    private fun meanLoad(candidates: List<Candidate>): Double =
        if (candidates.isEmpty()) 0.0 else candidates.sumOf { it.load } / candidates.size

    public companion object {
        private const val AFFINITY_LOAD_FACTOR = 1.25
        private const val AFFINITY_LOAD_ALLOWANCE = 0.125

        /** The load up to which a target is preferred for the prefix that it holds. */
        public fun loadBound(meanLoad: Double): Double = meanLoad * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_ALLOWANCE
    }
}
