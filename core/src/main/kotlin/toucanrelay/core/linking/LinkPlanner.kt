package toucanrelay.core.linking

import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import toucanrelay.core.exchange.EntryPlace
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.Pool
import kotlin.math.ceil

/**
 * Plans links between entries and agents; every entry reaches the same plan from the same instances and bundle.
 *
 * Each agent draws as many entries as its pools need, the nearest by weighted rendezvous hashing, and passes over entries
 * whose links are at the bound (consistent hashing with bounded loads: Mirrokni, Thorup and Zadimoghaddam, 2018). Then
 * each entry that few agents of a pool drew adds agents of that pool.
 */
public class LinkPlanner(
    private val terms: LinkTerms = LinkTerms(),
) {
    /** Plans the links between [entries] and [agents]. */
    public fun plan(entries: Collection<EntryPlace>, agents: Collection<LinkableAgent>): LinkPlan =
        Planning(terms, entries, agents).plan()

    /** The number of links that the agents' draw gives to one entry, at most. */
    public fun drawBound(entries: Int, agents: Collection<LinkableAgent>): Int = drawBound(terms, entries, agents)
}

private const val DRAW_SLACK = 1.5

private fun drawBound(terms: LinkTerms, entries: Int, agents: Collection<LinkableAgent>): Int {
    if (entries == 0) return 0
    val sizes = poolSizes(agents)
    return ceil(DRAW_SLACK * agents.sumOf { entriesFor(terms, it, sizes, entries) } / entries).toInt()
}

private fun poolSizes(agents: Collection<LinkableAgent>): Map<Pool, Int> =
    agents.flatMap { it.pools }.groupingBy { it }.eachCount()

private fun entriesFor(
    terms: LinkTerms,
    agent: LinkableAgent,
    sizes: Map<Pool, Int>,
    entries: Int,
): Int {
    val needed =
        agent.pools.maxOfOrNull { ceil(terms.linksPerPool.toDouble() * entries / sizes.getValue(it)).toInt() } ?: 0
    return needed.coerceIn(terms.leastEntriesPerAgent, terms.mostEntriesPerAgent).coerceAtMost(entries)
}

private class Planning(
    private val terms: LinkTerms,
    entryPlaces: Collection<EntryPlace>,
    private val agents: Collection<LinkableAgent>,
) {
    private val entries = entryPlaces.map { LinkEnd(it) }.sortedWith(LinkEnd.RANK)
    private val ends = agents.associate { it.instance to LinkEnd(it) }
    private val bound = drawBound(terms, entries.size, agents)
    private val links = entries.associate { it.instance to LinkedHashSet<InstanceId>() }

    fun plan(): LinkPlan {
        drawByAgents()
        addForEntries()
        return LinkPlan(links.mapValues { it.value.toPersistentSet() }.toPersistentMap())
    }

    private fun drawByAgents() {
        val sizes = poolSizes(agents)
        agents
            .sortedWith(compareBy(LinkEnd.RANK) { ends.getValue(it.instance) })
            .forEach { agent -> draw(ends.getValue(agent.instance), entriesFor(terms, agent, sizes, entries.size)) }
    }

    private fun draw(agent: LinkEnd, count: Int) {
        val open = entries.filter { links.getValue(it.instance).size < bound }
        val drawn = nearest(open, count) { it.costTo(agent) }
        val missing = count - drawn.size
        val beyondBound =
            if (missing >
                0
            ) {
                nearest(entries - drawn.toSet(), missing) { it.costTo(agent) }
            } else {
                emptyList()
            }
        (drawn + beyondBound).forEach { links.getValue(it.instance) += agent.instance }
    }

    private fun addForEntries() {
        val members =
            agents
                .flatMap { agent ->
                    agent.pools.map { it to ends.getValue(agent.instance) }
                }.groupBy({ it.first }, { it.second })
        entries.forEach { entry -> members.values.forEach { addFor(entry, it) } }
    }

    private fun addFor(entry: LinkEnd, members: List<LinkEnd>) {
        val linked = links.getValue(entry.instance)
        val missing = minOf(terms.leastLinksPerPool, members.size) - members.count { it.instance in linked }
        if (missing <= 0) return
        linked += nearest(members.filter { it.instance !in linked }, missing) { entry.costTo(it) }.map { it.instance }
    }
}

private fun nearest(ends: List<LinkEnd>, count: Int, cost: (LinkEnd) -> Double): List<LinkEnd> {
    if (count >= ends.size) return ends
    val chosen = java.util.PriorityQueue<Pair<Double, LinkEnd>>(count + 1, compareByDescending { it.first })
    ends.forEach { end ->
        chosen += cost(end) to end
        if (chosen.size > count) chosen.poll()
    }
    return chosen.map { it.second }.sortedWith(LinkEnd.RANK)
}
