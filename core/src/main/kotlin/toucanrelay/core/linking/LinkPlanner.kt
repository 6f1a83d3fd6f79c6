package toucanrelay.core.linking

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import toucanrelay.core.exchange.EntryLocation
import toucanrelay.core.identity.Pool

/**
 * Plans links between entries and agents; every entry computes the same plan from the same instances and bundle.
 *
 * Each agent selects as many entries as its pools need, the nearest by weighted rendezvous hashing, and skips entries
 * whose links have reached the limit (consistent hashing with bounded loads: Mirrokni, Thorup and Zadimoghaddam, 2018).
 * Then each entry that too few agents of a pool selected adds agents of that pool.
 */
public class LinkPlanner(
    private val settings: LinkPlanSettings = LinkPlanSettings(),
) {
    /** Plans the links between [entries] and [agents]. */
    public fun plan(entries: Collection<EntryLocation>, agents: Collection<LinkableAgent>): LinkPlan =
        LinkPlanBuilder(settings, entries, agents).build()

    /**
     * Returns the maximum number of links that the agents' selection gives to one entry.
     *
     * The limit holds when there are at least three times as many entries as any agent selects.
     */
    public fun maxSelectedLinksPerEntry(entries: Int, agents: Collection<LinkableAgent>): Int =
        LinkQuotas(settings, entries, agents).maxLinksPerEntry
}

private class LinkPlanBuilder(
    private val settings: LinkPlanSettings,
    entryLocations: Collection<EntryLocation>,
    linkableAgents: Collection<LinkableAgent>,
) {
    private class Agent(
        val linkable: LinkableAgent,
        val endpoint: LinkEndpoint,
    )

    private val endpoints = LinkEndpointFactory()
    private val entries = entryLocations.map { endpoints.endpointOf(it) }.sortedWith(LinkEndpoint.HASH_ORDER)
    private val agents =
        linkableAgents
            .map { Agent(it, endpoints.endpointOf(it)) }
            .sortedWith(compareBy(LinkEndpoint.HASH_ORDER) { it.endpoint })
    private val quotas = LinkQuotas(settings, entries.size, linkableAgents)
    private val links = List(entries.size) { LinkedHashSet<Agent>() }

    fun build(): LinkPlan {
        agents.forEach { linkAgent(it, quotas.entriesFor(it.linkable)) }
        agentsByPool().forEach { (pool, members) -> entries.indices.forEach { addMissingLinks(it, pool, members) } }
        val planned =
            entries.indices.associate { entry ->
                entries[entry].instance to
                    links[entry].map { it.linkable.instance }
            }
        return LinkPlan(planned.mapValues { it.value.toPersistentList() }.toPersistentMap())
    }

    private fun linkAgent(agent: Agent, count: Int) {
        val selected = selectEntries(agent, count) { links[it].size < quotas.maxLinksPerEntry }
        selected.forEach { links[it] += agent }
        // With few entries the limit may leave too few eligible; the agent's number of entries takes precedence.
        selectEntries(agent, count - selected.size) { agent !in links[it] }.forEach { links[it] += agent }
    }

    private inline fun selectEntries(agent: Agent, count: Int, isEligible: (Int) -> Boolean): IntArray {
        if (count <= 0) return IntArray(0)
        val selection = NearestSelection(count)
        entries.indices.forEach { if (isEligible(it)) selection.offer(it, entries[it], agent.endpoint) }
        return selection.selected
    }

    private fun agentsByPool(): Map<Pool, List<Agent>> {
        val members = LinkedHashMap<Pool, MutableList<Agent>>()
        agents.forEach { agent -> agent.linkable.pools.forEach { members.getOrPut(it) { mutableListOf() } += agent } }
        return members
    }

    private fun addMissingLinks(entry: Int, pool: Pool, members: List<Agent>) {
        val linked = links[entry]
        val missing = minOf(settings.minLinksPerPool, members.size) - linked.count { pool in it.linkable.pools }
        if (missing <= 0) return
        val selection = NearestSelection(missing)
        members.forEachIndexed { index, agent ->
            if (agent !in linked) selection.offer(index, entries[entry], agent.endpoint)
        }
        selection.selected.forEach { linked += members[it] }
    }
}
