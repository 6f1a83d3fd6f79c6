package toucanrelay.core.configuration

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableSet
import toucanrelay.core.identity.RegionId

/** Whether requests of a route may run more than once, which decides on retries after an unknown outcome. */
public enum class RouteKind {
    /** May run any number of times. */
    IDEMPOTENT,

    /** May run at most once. */
    NON_IDEMPOTENT,

    /** Answers with server-sent events; may run again only if the route is resumable. */
    STREAMING,
}

/**
 * A service and its weight among the services of a route.
 *
 * @property weight its share of requests relative to the weights of the other services; not negative.
 */
public data class WeightedService(
    public val service: String,
    public val weight: Double,
)

/**
 * Settings for the requests to one host whose path starts with a prefix.
 *
 * @property timeoutMilliseconds longest time from a request to its final answer.
 * @property latencyObjectiveMilliseconds longest time to the answer, or to the first event of a stream, that counts as
 *     on time.
 * @property rank priority of the requests; 0 is the most urgent.
 * @property maxAttempts maximum number of targets to which one request is sent.
 * @property isAnonymous whether requests need no key.
 * @property allowedRegions regions that may serve the route; empty for all.
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
    public val maxAttempts: Int,
    public val isAnonymous: Boolean,
    public val isResumable: Boolean,
    public val allowedRegions: ImmutableSet<RegionId>,
) {
    /** Whether a request whose outcome is unknown may be sent to another target. */
    public val mayRunAgain: Boolean
        get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && isResumable)
}
