package toucanrelay.core.configuration

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.RegionId

/**
 * An organisation and what it may use.
 *
 * @property rank takes the place of the rank of the routes that it uses, where set.
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
 * @property slots requests that one engine runs at once.
 * @property tokensPerEvent generated tokens that one event of a stream holds.
 * @property memoryTokens tokens that running requests and cached prompt parts share.
 */
public data class EngineTerms(
    public val slots: Int,
    public val memoryTokens: Long,
    public val tokensPerEvent: Int,
)

/**
 * What the targets of a service bear.
 *
 * @property maximumConnections connections that one target accepts from all callers together.
 * @property coldRequestsPerSecond requests that a cold target bears; null where a cold start has no bound.
 * @property engine set where the targets are model engines.
 */
public data class ServiceTerms(
    public val name: String,
    public val maximumConnections: Int,
    public val coldRequestsPerSecond: Double?,
    public val engine: EngineTerms?,
)

/**
 * Bounds on what a caller may send.
 *
 * @property maximumHeaderBytes bound on the request line and all header lines together.
 * @property tokensPerSecond what all engines together produce, where prompt tokens count once and generated ones twice.
 */
public data class CallerLimits(
    public val maximumHeaderBytes: Int,
    public val maximumBodyBytes: Int,
    public val tokensPerSecond: Double?,
)

/** One version of all that operators configure. */
public class Configuration(
    public val version: Long,
    public val routes: ImmutableList<Route>,
    public val services: ImmutableMap<String, ServiceTerms>,
    public val organisations: ImmutableList<Organisation>,
    public val limits: CallerLimits,
) {
    private val routesByHost = routes.groupBy { it.host }.mapValues { (_, ofHost) -> longestPrefixFirst(ofHost) }
    private val organisationsByKey = organisations.flatMap { of -> of.keys.map { key -> key to of } }.toMap()

    /** Whether requests need the key of an organisation, save on anonymous routes. */
    public val requiresKeys: Boolean
        get() = organisations.isNotEmpty()

    /** The route with the longest prefix that begins [path]; null when none does. */
    public fun routeOf(host: String, path: String): Route? =
        routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** The organisation that holds [key]. */
    public fun organisationOf(key: String): Organisation? = organisationsByKey[key]

    private fun longestPrefixFirst(ofHost: List<Route>) = ofHost.sortedByDescending { it.pathPrefix.length }
}
