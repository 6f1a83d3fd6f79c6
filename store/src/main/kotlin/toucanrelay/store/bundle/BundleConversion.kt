package toucanrelay.store.bundle

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import toucanrelay.core.bundle.Bundle
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.core.bundle.FailureDomainSettings
import toucanrelay.core.bundle.OrganisationLimits
import toucanrelay.core.bundle.OrganisationSettings
import toucanrelay.core.bundle.ServiceSettings
import toucanrelay.core.bundle.ServiceWeights
import toucanrelay.core.bundle.TargetSettings
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.TargetId

/** Converts this document to a bundle with the given [version]. */
public fun BundleDocument.toBundle(version: BundleVersion): Bundle =
    Bundle(
        version = version,
        weights = ServiceWeights(weights.promptToken, weights.generatedToken, weights.serviceCall),
        organisations = organisations.convert(::OrganisationId) { it.toSettings() },
        targets = targets.convert(::TargetId) { it.toSettings() },
        services = services.convert({ it }) { it.toSettings() },
        failureDomains =
            failureDomains.convert(::FailureDomainId) { FailureDomainSettings(RegionId(it.region), it.inService) },
    )

private fun OrganisationDocument.toSettings(): OrganisationSettings =
    OrganisationSettings(
        share = share,
        limits = OrganisationLimits(limits.waitingRequests, limits.inFlightRequests, limits.bodyBytes),
        keyDigests = keyDigests.toPersistentSet(),
        pools = pools?.toPools(),
    )

private fun TargetDocument.toSettings(): TargetSettings =
    TargetSettings(
        region = RegionId(region),
        failureDomain = FailureDomainId(failureDomain),
        pools = pools.toPools(),
        slots = slots,
        coldSlots = coldSlots,
        checksFencing = checksFencing,
    )

private fun ServiceDocument.toSettings(): ServiceSettings =
    ServiceSettings(idempotentMethods.toPersistentSet(), idempotentPaths.toPersistentSet())

private fun List<String>.toPools(): PersistentSet<Pool> = map { Pool.named(it) }.toPersistentSet()

private fun <D, K, T> Map<String, D>.convert(key: (String) -> K, settings: (D) -> T) =
    entries.associate { (name, document) -> key(name) to settings(document) }.toPersistentMap()
