package toucanrelay.core.linking

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import toucanrelay.core.exchange.EntryPlace
import toucanrelay.core.identity.Pool

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

    /** The number of links that the agents' draw gives to one entry, at most, when there are three times as many entries. */
    public fun drawBound(entries: Int, agents: Collection<LinkableAgent>): Int =
        LinkDemand(terms, entries, agents).bound
}

private class Planning(
    private val terms: LinkTerms,
    entryPlaces: Collection<EntryPlace>,
    agentPlaces: Collection<LinkableAgent>,
) {
    private class Agent(
        val place: LinkableAgent,
        val end: LinkEnd,
    )

    private val numbers = PlaceNumbers()
    private val entries = entryPlaces.map { numbers.endOf(it) }.sortedWith(LinkEnd.RANK)
    private val agents = agentPlaces.map { Agent(it, numbers.endOf(it)) }.sortedWith(compareBy(LinkEnd.RANK) { it.end })
    private val demand = LinkDemand(terms, entries.size, agentPlaces)
    private val links = List(entries.size) { LinkedHashSet<Agent>() }

    fun plan(): LinkPlan {
        agents.forEach { draw(it, demand.entriesFor(it.place)) }
        agentsByPool().forEach { (pool, members) -> entries.indices.forEach { addFor(it, pool, members) } }
        val planned =
            entries.indices.associate { entry ->
                entries[entry].instance to
                    links[entry].map { it.place.instance }
            }
        return LinkPlan(planned.mapValues { it.value.toPersistentList() }.toPersistentMap())
    }

    private fun draw(agent: Agent, count: Int) {
        val drawn = select(agent, count) { links[it].size < demand.bound }
        drawn.forEach { links[it] += agent }
        // With few entries the bound may leave too few open; the agent's least number of entries goes first.
        select(agent, count - drawn.size) { agent !in links[it] }.forEach { links[it] += agent }
    }

    private inline fun select(agent: Agent, count: Int, isOpen: (Int) -> Boolean): IntArray {
        if (count <= 0) return IntArray(0)
        val selection = NearestSelection(count)
        entries.indices.forEach { if (isOpen(it)) selection.offer(it, entries[it], agent.end) }
        return selection.chosen
    }

    private fun agentsByPool(): Map<Pool, List<Agent>> {
        val members = LinkedHashMap<Pool, MutableList<Agent>>()
        agents.forEach { agent -> agent.place.pools.forEach { members.getOrPut(it) { mutableListOf() } += agent } }
        return members
    }

    private fun addFor(entry: Int, pool: Pool, members: List<Agent>) {
        val linked = links[entry]
        val missing = minOf(terms.leastLinksPerPool, members.size) - linked.count { pool in it.place.pools }
        if (missing <= 0) return
        val selection = NearestSelection(missing)
        members.forEachIndexed { number, agent ->
            if (agent !in linked) selection.offer(number, entries[entry], agent.end)
        }
        selection.chosen.forEach { linked += members[it] }
    }
}
