package toucanrelay.core.linking

import toucanrelay.core.identity.Pool
import kotlin.math.ceil

/** How many entries each agent draws, and how many links that makes for one entry at most. */
internal class LinkDemand(
    private val terms: LinkTerms,
    private val entries: Int,
    agents: Collection<LinkableAgent>,
) {
    private val poolSizes: Map<Pool, Int> = agents.flatMap { it.pools }.groupingBy { it }.eachCount()

    /** Links that the agents' draw gives to one entry, at most. */
    val bound: Int = if (entries == 0) 0 else ceil(SLACK * agents.sumOf { entriesFor(it) } / entries).toInt()

    /** Entries that [agent] draws. */
    fun entriesFor(agent: LinkableAgent): Int {
        val needed =
            agent.pools.maxOfOrNull {
                ceil(
                    terms.linksPerPool.toDouble() * entries / poolSizes.getValue(it),
                ).toInt()
            }
        return (needed ?: 0).coerceIn(terms.leastEntriesPerAgent, terms.mostEntriesPerAgent).coerceAtMost(entries)
    }

    private companion object {
        /** How far an entry's links may exceed the mean. */
        const val SLACK = 1.5
    }
}
