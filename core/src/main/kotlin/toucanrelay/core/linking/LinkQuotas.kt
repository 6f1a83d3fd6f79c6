package toucanrelay.core.linking

import toucanrelay.core.identity.Pool
import kotlin.math.ceil

/** Computes how many entries each agent selects, and the resulting maximum number of links per entry. */
internal class LinkQuotas(
    private val settings: LinkPlanSettings,
    private val entries: Int,
    agents: Collection<LinkableAgent>,
) {
    private val poolSizes: Map<Pool, Int> = agents.flatMap { it.pools }.groupingBy { it }.eachCount()

    /** Maximum number of links that the agents' selection gives to one entry. */
    val maxLinksPerEntry: Int =
        if (entries == 0) 0 else ceil(MAX_LOAD_FACTOR * agents.sumOf { entriesFor(it) } / entries).toInt()

    /** Returns the number of entries that [agent] selects. */
    fun entriesFor(agent: LinkableAgent): Int {
        val needed =
            agent.pools.maxOfOrNull {
                ceil(
                    settings.linksPerPool.toDouble() * entries / poolSizes.getValue(it),
                ).toInt()
            }
        return (needed ?: 0).coerceIn(settings.minEntriesPerAgent, settings.maxEntriesPerAgent).coerceAtMost(entries)
    }

    private companion object {
        /** Maximum ratio of an entry's links to the mean. */
        const val MAX_LOAD_FACTOR = 1.5
    }
}
