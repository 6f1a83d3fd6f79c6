package toucanrelay.core.bundle

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.TargetId

/** The version of a bundle; a bundle is only ever replaced by one of a higher version. */
@JvmInline
public value class BundleVersion(
    public val value: Long,
) : Comparable<BundleVersion> {
    override fun compareTo(other: BundleVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/**
 * The configuration signed by the operators: permissions of organisations, capacities of targets, and which failure
 * domains are in service.
 *
 * @property version increases by at least one with each roll-out.
 * @property weights conversion of tokens and calls into service units.
 * @property organisations the organisations by name.
 * @property targets the targets by name.
 * @property services the plain services by name.
 * @property failureDomains the failure domains by name.
 */
public data class Bundle(
    public val version: BundleVersion,
    public val weights: ServiceWeights = ServiceWeights(),
    public val organisations: PersistentMap<OrganisationId, OrganisationSettings> = persistentMapOf(),
    public val targets: PersistentMap<TargetId, TargetSettings> = persistentMapOf(),
    public val services: PersistentMap<String, ServiceSettings> = persistentMapOf(),
    public val failureDomains: PersistentMap<FailureDomainId, FailureDomainSettings> = persistentMapOf(),
) {
    /** Returns whether work may start in [failureDomain]; false when the bundle does not contain it. */
    public fun isInService(failureDomain: FailureDomainId): Boolean = failureDomains[failureDomain]?.inService == true

    /** Returns whether the bundle contains [target] and its failure domain is in service. */
    public fun isInService(target: TargetId): Boolean = targets[target]?.let { isInService(it.failureDomain) } == true
}

/**
 * Conversion of work into service units.
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
 * Share, limits and permissions of an organisation.
 *
 * @property share its weight relative to the other organisations; positive.
 * @property limits its limits, which apply at each entry separately.
 * @property keyDigests SHA-256 digests of its bearer keys in lower-case hexadecimal.
 * @property pools the pools it may use; null for all.
 */
public data class OrganisationSettings(
    public val share: Double,
    public val limits: OrganisationLimits,
    public val keyDigests: PersistentSet<String>,
    public val pools: PersistentSet<Pool>? = null,
) {
    /** Returns whether the organisation may use [pool]. */
    public fun mayUse(pool: Pool): Boolean = pools?.contains(pool) ?: true
}

/**
 * Limits of an organisation at one entry.
 *
 * @property waitingRequests maximum number of requests that wait for a target.
 * @property inFlightRequests maximum number of requests that run on targets.
 * @property bodyBytes largest size of a request body.
 */
public data class OrganisationLimits(
    public val waitingRequests: Int = 1_000,
    public val inFlightRequests: Int = 1_000,
    public val bodyBytes: Long = 1_048_576,
)

/**
 * Location, pools and capacity of a target.
 *
 * @property region where the target runs.
 * @property failureDomain the failure domain that it belongs to.
 * @property pools the pools that it serves.
 * @property slots maximum number of concurrent requests when warm.
 * @property coldSlots maximum number of concurrent requests right after a start.
 * @property checksFencing whether the engine rejects orders with an outdated fencing number.
 */
public data class TargetSettings(
    public val region: RegionId,
    public val failureDomain: FailureDomainId,
    public val pools: PersistentSet<Pool>,
    public val slots: Int,
    public val coldSlots: Int,
    public val checksFencing: Boolean = false,
)

/**
 * Idempotency of the calls of a plain service.
 *
 * @property idempotentMethods HTTP methods that may be sent more than once.
 * @property idempotentPaths path prefixes whose calls may be sent more than once, regardless of the method.
 */
public data class ServiceSettings(
    public val idempotentMethods: PersistentSet<String>,
    public val idempotentPaths: PersistentSet<String>,
) {
    /** Returns whether a call of [method] on [path] may be sent more than once. */
    public fun isIdempotent(method: String, path: String): Boolean =
        method.uppercase() in idempotentMethods || idempotentPaths.any { path.startsWith(it) }
}

/**
 * Region and service state of a failure domain.
 *
 * @property region the region that contains it.
 * @property inService whether new work may start there.
 */
public data class FailureDomainSettings(
    public val region: RegionId,
    public val inService: Boolean = true,
)
