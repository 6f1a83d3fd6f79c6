package toucanrelay.core.routing

import toucanrelay.core.queue.WaitingRequest

/**
 * Chooses a target for a request among those that serve its pool.
 *
 * A target with the request's prefix in its cache is preferred as long as its load is within [loadBound]; next, a
 * target in the same failure domain, then one in the same region, least loaded first. Another region is used only when
 * the local region cannot serve the request in time, and within the byte budget of the link. The load bound follows
 * V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent hashing with bounded loads", SODA 2018.
 *
 * @param ownLocation location of this entry.
 * @param budget limit on the bytes sent over links to other regions.
 * @param remoteWaitMilliseconds waiting time after which the local region is considered unable to serve a request in
 * time.
 */
public class RoutingPolicy(
    private val ownLocation: Location,
    private val budget: ByteBudget,
    private val remoteWaitMilliseconds: Long = 250,
) {
    /** Returns the target to which [request] is sent now without a grant, or null if it has to wait. */
    public fun choose(request: WaitingRequest, candidates: List<Candidate>, nowMilliseconds: Long): Candidate? {
        if (request.isGrantOnly) return null
        val usable = candidates.filter { it.free > 0 && !isAvoided(request, it, candidates) }
        val (local, remote) = usable.partition(::isLocal)
        return when {
            local.isNotEmpty() -> best(local, meanLoad(candidates.filter(::isLocal)))
            remote.isEmpty() || !mayUseRemote(request, candidates, nowMilliseconds) -> null
            else -> best(remote, meanLoad(remote))
        }
    }

    /** Returns whether [request] may be sent to [candidate] under a grant. */
    public fun isGrantAllowed(
        request: WaitingRequest,
        candidate: Candidate,
        candidates: List<Candidate>,
        nowMilliseconds: Long,
    ): Boolean =
        !isAvoided(request, candidate, candidates) &&
            (isLocal(candidate) || mayUseRemote(request, candidates, nowMilliseconds))

    /** Returns whether [request] may leave the region: the region cannot serve it in time and the budget suffices. */
    public fun mayUseRemote(request: WaitingRequest, candidates: List<Candidate>, nowMilliseconds: Long): Boolean {
        val hasLocal = candidates.any { isLocal(it) && it.limit > 0 }
        val isLate = nowMilliseconds - request.arrivedAtMilliseconds >= remoteWaitMilliseconds
        return (!hasLocal || isLate) && budget.isAvailable(linkBytes(request))
    }

    /** Returns whether [candidate] is in this entry's region. */
    public fun isLocal(candidate: Candidate): Boolean = candidate.location.region == ownLocation.region

    /** Returns the expected size in bytes of [request] and its answer on a link. */
    public fun linkBytes(request: WaitingRequest): Long = request.bodyBytes + request.expectedAnswerBytes

    /** Returns whether [candidate] has refused the request before and there is another candidate that has not. */
    private fun isAvoided(request: WaitingRequest, candidate: Candidate, candidates: List<Candidate>): Boolean =
        candidate.target in request.refusedBy && candidates.any { it.target !in request.refusedBy }

    private fun best(usable: List<Candidate>, meanLoad: Double): Candidate =
        usable.minWith(
            compareByDescending<Candidate> { it.holdsPrefix && it.load <= loadBound(meanLoad) }
                .thenByDescending { it.location.failureDomain == ownLocation.failureDomain }
                .thenBy { it.load }
                .thenByDescending { it.free }
                .thenBy { it.target },
        )

    private fun meanLoad(candidates: List<Candidate>): Double =
        if (candidates.isEmpty()) 0.0 else candidates.sumOf { it.load } / candidates.size

    public companion object {
        private const val AFFINITY_LOAD_FACTOR = 1.25
        private const val AFFINITY_LOAD_ALLOWANCE = 0.125

        /** Returns the load up to which a target is preferred for its cached prefix. */
        public fun loadBound(meanLoad: Double): Double = meanLoad * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_ALLOWANCE
    }
}
