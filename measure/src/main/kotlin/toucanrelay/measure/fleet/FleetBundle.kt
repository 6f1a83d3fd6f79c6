package toucanrelay.measure.fleet

import toucanrelay.store.bundle.BundleDocument
import toucanrelay.store.bundle.FailureDomainDocument
import toucanrelay.store.bundle.LimitsDocument
import toucanrelay.store.bundle.OrganisationDocument
import toucanrelay.store.bundle.ServiceDocument
import toucanrelay.store.bundle.TargetDocument
import java.security.MessageDigest
import java.util.HexFormat

/** Returns the bundle document for this plan, with every failure domain in service. */
internal fun FleetPlan.toBundleDocument(): BundleDocument =
    BundleDocument(
        organisations = organisations.associate { it.name to it.toDocument() },
        targets = models.associate { it.name to it.toDocument() } + services.associate { it.name to it.toDocument() },
        services = services.associate { it.service to ServiceDocument() },
        failureDomains = failureDomains.associate { it.name to FailureDomainDocument(it.region) },
    )

private fun OrganisationPlan.toDocument() =
    OrganisationDocument(
        share = share,
        keyDigests = listOf(digestOf(key)),
        limits = LimitsDocument(waitingRequests = waitingRequests, inFlightRequests = waitingRequests),
    )

private fun ModelTargetPlan.toDocument() =
    TargetDocument(
        region = failureDomain.region,
        failureDomain = failureDomain.name,
        pools = listOf(model),
        slots = slots,
        coldSlots = coldSlots,
        checksFencing = true,
    )

private fun ServiceTargetPlan.toDocument() =
    TargetDocument(
        region = failureDomain.region,
        failureDomain = failureDomain.name,
        pools = listOf("service:$service"),
        slots = slots,
        coldSlots = slots,
    )

private fun digestOf(key: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray()))
