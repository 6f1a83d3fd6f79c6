package toucanrelay.core.linking

import kotlinx.collections.immutable.PersistentSet
import toucanrelay.core.exchange.EntryLocation
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.StableHash

/** An agent that entries can link to, with the pools that its target serves. */
public data class LinkableAgent(
    public val instance: InstanceId,
    public val region: RegionId,
    public val failureDomain: FailureDomainId,
    public val pools: PersistentSet<Pool>,
)

/**
 * Proximity of the two endpoints of a link.
 *
 * @property weight how much likelier such a link is than one to another region.
 */
internal enum class Nearness(
    val weight: Double,
) {
    SAME_FAILURE_DOMAIN(64.0),
    SAME_REGION(16.0),
    OTHER_REGION(1.0),
}

/** One endpoint of possible links, with its precomputed hash and its location as small integers. */
internal class LinkEndpoint(
    val instance: InstanceId,
    private val region: Int,
    private val failureDomain: Int,
) {
    private val hash = StableHash.of(instance.value)

    /** Returns how near [other] is. */
    fun nearnessTo(other: LinkEndpoint): Nearness =
        when {
            failureDomain == other.failureDomain -> Nearness.SAME_FAILURE_DOMAIN
            region == other.region -> Nearness.SAME_REGION
            else -> Nearness.OTHER_REGION
        }

    /** Returns a number between zero and one for the link from this entry to [agent], the same in every process. */
    fun drawFor(agent: LinkEndpoint): Double = StableHash.toUnit(StableHash.combine(hash, agent.hash))

    companion object {
        /** Orders endpoints by hash: the same order in every process, independent of their names. */
        val HASH_ORDER: Comparator<LinkEndpoint> = compareBy<LinkEndpoint> { it.hash }.thenBy { it.instance }
    }
}

/** Creates endpoints whose regions and failure domains are numbered, so that they compare quickly. */
internal class LinkEndpointFactory {
    private val regions = HashMap<RegionId, Int>()
    private val failureDomains = HashMap<RegionalDomain, Int>()

    private data class RegionalDomain(
        val region: RegionId,
        val failureDomain: FailureDomainId,
    )

    /** Returns the endpoint at [entry]. */
    fun endpointOf(entry: EntryLocation): LinkEndpoint = endpoint(entry.instance, entry.region, entry.failureDomain)

    /** Returns the endpoint at [agent]. */
    fun endpointOf(agent: LinkableAgent): LinkEndpoint = endpoint(agent.instance, agent.region, agent.failureDomain)

    private fun endpoint(instance: InstanceId, region: RegionId, failureDomain: FailureDomainId) =
        LinkEndpoint(
            instance,
            regions.getOrPut(region) { regions.size },
            failureDomains.getOrPut(RegionalDomain(region, failureDomain)) { failureDomains.size },
        )
}
