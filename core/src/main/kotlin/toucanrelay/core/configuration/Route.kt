package toucanrelay.core.configuration

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableSet
import toucanrelay.core.identity.RegionId

/** What may happen to a request when its outcome is unknown. */
public enum class RouteKind {
    /** May run any number of times. */
    IDEMPOTENT,

    /** May run at most once. */
    NON_IDEMPOTENT,

    /** Answers with server-sent events; may run again only where the route is resumable. */
    STREAMING,
}

/**
 * A service and its part of a route's requests.
 *
 * @property weight relative to the weights of the route's other services; not negative.
 */
public data class WeightedService(
    public val service: String,
    public val weight: Double,
)

/**
 * The terms for requests of one host whose path begins with a prefix.
 *
 * @property timeoutMilliseconds longest time that a request may be kept waiting for its final answer.
 * @property latencyObjectiveMilliseconds time to the answer, or to the first event of a stream, that counts as on time.
 * @property rank 0 is the most urgent.
 * @property maximumAttempts targets to which one request may be sent.
 * @property isAnonymous whether requests need no key.
 * @property allowedRegions regions that may serve the route; empty when all may.
 */
public data class Route(
    public val name: String,
    public val host: String,
    public val pathPrefix: String,
    public val kind: RouteKind,
    public val timeoutMilliseconds: Long,
    public val latencyObjectiveMilliseconds: Long,
    public val rank: Int,
    public val services: ImmutableList<WeightedService>,
    public val maximumAttempts: Int,
    public val isAnonymous: Boolean,
    public val isResumable: Boolean,
    public val allowedRegions: ImmutableSet<RegionId>,
) {
    /** Whether a request whose outcome is unknown may be sent to another target. */
    public val mayRunAgain: Boolean
        get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && isResumable)
}
