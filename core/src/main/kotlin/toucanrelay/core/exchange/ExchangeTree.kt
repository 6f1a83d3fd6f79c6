package toucanrelay.core.exchange

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.StableHash

/** Where an entry runs. */
public data class EntryPlace(
    public val instance: InstanceId,
    public val region: RegionId,
    public val failureDomain: FailureDomainId,
)

/**
 * The tree over which entries exchange service increments, computed by each entry from the list of instances alone.
 *
 * Entries are ranked by a hash of their name. The lowest rank of a failure domain is the root there, the lowest of a
 * region links the region's failure domains, and the lowest of all links the regions; within each level the members form
 * a heap. Every parent has a lower rank than its child, whichever list the child computed it from. As each entry keeps
 * one parent at a time, links made from differing lists never form a cycle.
 *
 * @param entries the entries to link.
 * @param fanOut children of one entry within one level.
 */
public class ExchangeTree(
    entries: Collection<EntryPlace>,
    private val fanOut: Int = DEFAULT_FAN_OUT,
) {
    private val ranked = entries.sortedWith(ENTRY_RANK)
    private val byFailureDomain = ranked.groupBy { it.region to it.failureDomain }
    private val failureDomainRoots =
        byFailureDomain.values
            .map { it.first() }
            .sortedWith(
                ENTRY_RANK,
            ).groupBy { it.region }
    private val regionRoots = failureDomainRoots.values.map { it.first() }.sortedWith(ENTRY_RANK)

    /** The entry to which [entry] connects; null for the root of the tree and for an entry that is not in it. */
    public fun parentOf(entry: EntryPlace): EntryPlace? =
        parentWithin(byFailureDomain[entry.region to entry.failureDomain].orEmpty(), entry)
            ?: parentWithin(failureDomainRoots[entry.region].orEmpty(), entry)
            ?: parentWithin(regionRoots, entry)

    /** The entries that connect to [entry]. */
    public fun childrenOf(entry: EntryPlace): PersistentList<EntryPlace> =
        ranked.filter { parentOf(it) == entry }.toPersistentList()

    private fun parentWithin(level: List<EntryPlace>, entry: EntryPlace): EntryPlace? {
        val index = level.binarySearch(entry, ENTRY_RANK)
        return when {
            index < 1 -> null
            index == 1 -> level.first()
            else -> level[1 + (index - 2) / fanOut]
        }
    }

    public companion object {
        /** Children of one entry within one level; the first of a level has one child there. */
        public const val DEFAULT_FAN_OUT: Int = 3

        /** Orders entries the same way in every process. */
        public val ENTRY_RANK: Comparator<EntryPlace> =
            compareBy<EntryPlace> { StableHash.of(it.instance.value) }.thenBy { it.instance }
    }
}
