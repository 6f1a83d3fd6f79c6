package toucanrelay.core.linking

import kotlinx.collections.immutable.PersistentSet
import toucanrelay.core.exchange.EntryPlace
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.StableHash

/** An agent to which entries may link, and the pools that its target serves. */
public data class LinkableAgent(
    public val instance: InstanceId,
    public val region: RegionId,
    public val failureDomain: FailureDomainId,
    public val pools: PersistentSet<Pool>,
)

/**
 * How near the ends of a link are.
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

/** One end of possible links, with its hash and small numbers for its place at hand. */
internal class LinkEnd(
    val instance: InstanceId,
    private val region: Int,
    private val failureDomain: Int,
) {
    private val hash = StableHash.of(instance.value)

    /** How near [other] is. */
    fun nearnessTo(other: LinkEnd): Nearness =
        when {
            failureDomain == other.failureDomain -> Nearness.SAME_FAILURE_DOMAIN
            region == other.region -> Nearness.SAME_REGION
            else -> Nearness.OTHER_REGION
        }

    /** A number between zero and one for the link from this entry to [agent], the same in every process. */
    fun drawFor(agent: LinkEnd): Double = StableHash.toUnit(StableHash.combine(hash, agent.hash))

    companion object {
        /** Orders ends the same way in every process, unrelated to their names. */
        val RANK: Comparator<LinkEnd> = compareBy<LinkEnd> { it.hash }.thenBy { it.instance }
    }
}

/** Numbers regions and failure domains, so that ends are compared quickly. */
internal class PlaceNumbers {
    private val regions = HashMap<RegionId, Int>()
    private val failureDomains = HashMap<RegionalDomain, Int>()

    private data class RegionalDomain(
        val region: RegionId,
        val failureDomain: FailureDomainId,
    )

    /** The end at [entry]. */
    fun endOf(entry: EntryPlace): LinkEnd = end(entry.instance, entry.region, entry.failureDomain)

    /** The end at [agent]. */
    fun endOf(agent: LinkableAgent): LinkEnd = end(agent.instance, agent.region, agent.failureDomain)

    private fun end(instance: InstanceId, region: RegionId, failureDomain: FailureDomainId) =
        LinkEnd(
            instance,
            regions.getOrPut(region) { regions.size },
            failureDomains.getOrPut(RegionalDomain(region, failureDomain)) { failureDomains.size },
        )
}
