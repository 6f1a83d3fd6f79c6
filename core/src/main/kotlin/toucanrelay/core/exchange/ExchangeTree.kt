package toucanrelay.core.exchange

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.StableHash

/** An entry's instance and where it runs; [toucanrelay.core.routing.Location] is a location without an instance. */
public data class EntryLocation(
    public val instance: InstanceId,
    public val region: RegionId,
    public val failureDomain: FailureDomainId,
)

/**
 * The tree over which entries exchange service increments; each entry computes it from the list of instances alone.
 *
 * Entries are ranked by a hash of their instance ID. The entry of lowest rank in a failure domain is its root, the
 * lowest in a region connects the region's failure domains, and the lowest of all connects the regions; within each
 * level the members form a heap. Every parent has a lower rank than its child, even when entries compute the tree from
 * different lists. Because each entry keeps one parent at a time, links from different lists never form a cycle.
 *
 * @param entries the entries to connect.
 * @param fanOut maximum number of children of one entry within one level.
 */
public class ExchangeTree(
    entries: Collection<EntryLocation>,
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

    /** Returns the parent of [entry]; null for the root of the tree and for an entry that is not in it. */
    public fun parentOf(entry: EntryLocation): EntryLocation? =
        parentWithin(byFailureDomain[entry.region to entry.failureDomain].orEmpty(), entry)
            ?: parentWithin(failureDomainRoots[entry.region].orEmpty(), entry)
            ?: parentWithin(regionRoots, entry)

    /** Returns the children of [entry]. */
    public fun childrenOf(entry: EntryLocation): PersistentList<EntryLocation> =
        ranked.filter { parentOf(it) == entry }.toPersistentList()

    private fun parentWithin(level: List<EntryLocation>, entry: EntryLocation): EntryLocation? {
        val index = level.binarySearch(entry, ENTRY_RANK)
        return when {
            index < 1 -> null
            index == 1 -> level.first()
            else -> level[1 + (index - 2) / fanOut]
        }
    }

    public companion object {
        /** Maximum number of children of one entry within one level; the first entry of a level has only one there. */
        public const val DEFAULT_FAN_OUT: Int = 3

        /** Orders entries identically in every process. */
        public val ENTRY_RANK: Comparator<EntryLocation> =
            compareBy<EntryLocation> { StableHash.of(it.instance.value) }.thenBy { it.instance }
    }
}
