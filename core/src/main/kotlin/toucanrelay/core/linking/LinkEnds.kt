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

/** One end of possible links, with its hash at hand. */
internal class LinkEnd(
    val instance: InstanceId,
    private val region: RegionId,
    private val failureDomain: FailureDomainId,
) {
    private val hash = StableHash.of(instance.value)

    constructor(entry: EntryPlace) : this(entry.instance, entry.region, entry.failureDomain)

    constructor(agent: LinkableAgent) : this(agent.instance, agent.region, agent.failureDomain)

    /**
     * Cost of the link from this entry to [agent]; the least are taken.
     *
     * Weighted rendezvous hashing (Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005): each pair draws
     * an exponentially distributed number whose rate is the weight of the nearness, so that a change at one end leaves
     * all other pairs as they are.
     */
    fun costTo(agent: LinkEnd): Double =
        -Math.log(StableHash.toUnit(StableHash.combine(hash, agent.hash))) / weight(agent)

    private fun weight(other: LinkEnd): Double =
        when {
            failureDomain == other.failureDomain && region == other.region -> SAME_FAILURE_DOMAIN_WEIGHT
            region == other.region -> SAME_REGION_WEIGHT
            else -> OTHER_REGION_WEIGHT
        }

    /** Orders ends the same way in every process, unrelated to their names. */
    companion object {
        private const val SAME_FAILURE_DOMAIN_WEIGHT = 64.0
        private const val SAME_REGION_WEIGHT = 16.0
        private const val OTHER_REGION_WEIGHT = 1.0

        val RANK: Comparator<LinkEnd> = compareBy<LinkEnd> { it.hash }.thenBy { it.instance }
    }
}
