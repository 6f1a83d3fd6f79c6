package toucanrelay.core.configuration

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.RegionId

/**
 * An organisation with its keys and permissions.
 *
 * @property rank overrides the rank of the routes that it uses; null to use theirs.
 */
public data class Organisation(
    public val id: OrganisationId,
    public val keys: ImmutableSet<String>,
    public val allowedRegions: ImmutableSet<RegionId>,
    public val rank: Int? = null,
)

/**
 * The model engines of a service.
 *
 * @property slots maximum number of requests that one engine runs concurrently.
 * @property memoryTokens capacity in tokens, shared by running requests and cached prompt parts.
 * @property tokensPerEvent generated tokens in one event of a stream.
 */
public data class EngineSettings(
    public val slots: Int,
    public val memoryTokens: Long,
    public val tokensPerEvent: Int,
)

/**
 * The limits of the targets of a service.
 *
 * @property maxConnections connections that one target accepts from all callers together.
 * @property coldRequestsPerSecond maximum number of requests per second sent to a cold target; null for no limit.
 * @property engine settings of model engines; null for other targets.
 */
public data class ServiceSettings(
    public val name: String,
    public val maxConnections: Int,
    public val coldRequestsPerSecond: Double?,
    public val engine: EngineSettings?,
)

/**
 * Limits on the requests of callers.
 *
 * @property maxHeaderBytes limit on the request line and all header lines together.
 * @property idleTimeoutMilliseconds time for which a connection stays open on which nothing arrives and no answer is due.
 * @property tokensPerSecond throughput of all engines together, counting prompt tokens once and generated ones twice.
 */
public data class CallerLimits(
    public val maxHeaderBytes: Int,
    public val maxBodyBytes: Int,
    public val idleTimeoutMilliseconds: Long,
    public val tokensPerSecond: Double?,
)

/**
 * One version of the whole configuration set by the operators.
 *
 * @property organisations the organisations whose keys are accepted; null if requests need no key. An empty list accepts
 *   no key.
 */
public class Configuration(
    public val version: Long,
    public val routes: ImmutableList<Route>,
    public val services: ImmutableMap<String, ServiceSettings>,
    public val organisations: ImmutableList<Organisation>?,
    public val limits: CallerLimits,
) {
    private val routesByHost = routes.groupBy { it.host }.mapValues { (_, routes) -> longestPrefixFirst(routes) }
    private val organisationsByKey = organisations.orEmpty().flatMap { owner -> owner.keys.map { it to owner } }.toMap()

    /** Whether requests need the key of an organisation, except on anonymous routes. */
    public val requiresKeys: Boolean
        get() = organisations != null

    /** Returns the route of [host] with the longest prefix of [path]; null when there is none. */
    public fun routeOf(host: String, path: String): Route? =
        routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the organisation to which [key] belongs; null for an unknown key. */
    public fun organisationOf(key: String): Organisation? = organisationsByKey[key]

    private fun longestPrefixFirst(routes: List<Route>) = routes.sortedByDescending { it.pathPrefix.length }
}
