package toucanrelay.core.bundle

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.TargetId

/** Orders bundles; a higher version replaces a lower one and never the reverse. */
@JvmInline
public value class BundleVersion(
    public val value: Long,
) : Comparable<BundleVersion> {
    override fun compareTo(other: BundleVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/**
 * What the operators signed off: who may use what, how much a target bears, and which failure domains are in service.
 *
 * @property version grows by at least one with each roll-out.
 * @property weights how tokens and calls become service units.
 * @property organisations the organisations by name.
 * @property targets the targets by name.
 * @property services the plain services by name.
 * @property failureDomains the failure domains by name.
 */
public data class Bundle(
    public val version: BundleVersion,
    public val weights: ServiceWeights = ServiceWeights(),
    public val organisations: PersistentMap<OrganisationId, OrganisationTerms> = persistentMapOf(),
    public val targets: PersistentMap<TargetId, TargetTerms> = persistentMapOf(),
    public val services: PersistentMap<String, ServiceTerms> = persistentMapOf(),
    public val failureDomains: PersistentMap<FailureDomainId, FailureDomainTerms> = persistentMapOf(),
) {
    /** Whether work may start in [failureDomain]; a failure domain that the bundle does not name is not in service. */
    public fun isInService(failureDomain: FailureDomainId): Boolean = failureDomains[failureDomain]?.inService == true

    /** Whether the bundle names the target and its failure domain is in service. */
    public fun isInService(target: TargetId): Boolean = targets[target]?.let { isInService(it.failureDomain) } == true
}

/**
 * How work becomes service units.
 *
 * @property promptToken service units for one prompt token.
 * @property generatedToken service units for one generated token.
 * @property serviceCall service units for one call of a plain service.
 */
public data class ServiceWeights(
    public val promptToken: Double = 0.1,
    public val generatedToken: Double = 1.0,
    public val serviceCall: Double = 50.0,
)

/**
 * What one organisation may use.
 *
 * @property share its part of the fleet relative to the other organisations; positive.
 * @property limits what it may hold at one time at one entry.
 * @property keyDigests SHA-256 digests of its bearer keys, lower-case hexadecimal.
 * @property pools the pools it may use; null for all.
 */
public data class OrganisationTerms(
    public val share: Double,
    public val limits: OrganisationLimits,
    public val keyDigests: PersistentSet<String>,
    public val pools: PersistentSet<Pool>? = null,
) {
    /** Whether the organisation may use [pool]. */
    public fun mayUse(pool: Pool): Boolean = pools?.contains(pool) ?: true
}

/**
 * What an organisation may hold at one entry.
 *
 * @property waitingRequests requests that wait for a target.
 * @property inFlightRequests requests that run on a target.
 * @property bodyBytes size of one request's body.
 */
public data class OrganisationLimits(
    public val waitingRequests: Int = 1_000,
    public val inFlightRequests: Int = 1_000,
    public val bodyBytes: Long = 1_048_576,
)

/**
 * How much one target bears and what it serves.
 *
 * @property region where the target runs.
 * @property failureDomain the failure domain it falls with.
 * @property pools what it serves.
 * @property slots requests it bears at once when warm.
 * @property coldSlots requests it bears at once when freshly started.
 * @property checksFencing whether the engine refuses an order with an old fencing number.
 */
public data class TargetTerms(
    public val region: RegionId,
    public val failureDomain: FailureDomainId,
    public val pools: PersistentSet<Pool>,
    public val slots: Int,
    public val coldSlots: Int,
    public val checksFencing: Boolean = false,
)

/**
 * Which calls of a plain service may be repeated.
 *
 * @property idempotentMethods HTTP methods that may be sent more than once.
 * @property idempotentPaths path prefixes whose calls may be sent more than once, whatever the method.
 */
public data class ServiceTerms(
    public val idempotentMethods: PersistentSet<String>,
    public val idempotentPaths: PersistentSet<String>,
) {
    /** Whether a call with [method] of [path] may be sent more than once. */
    public fun isIdempotent(method: String, path: String): Boolean =
        method.uppercase() in idempotentMethods || idempotentPaths.any { path.startsWith(it) }
}

/**
 * The state of a failure domain.
 *
 * @property region the region it lies in.
 * @property inService whether new work may start there.
 */
public data class FailureDomainTerms(
    public val region: RegionId,
    public val inService: Boolean = true,
)
