package toucanrelay.core.linking

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import toucanrelay.core.identity.InstanceId

/**
 * The agents that each entry links to.
 *
 * @property agentsByEntry the agents of each entry.
 */
public data class LinkPlan(
    public val agentsByEntry: PersistentMap<InstanceId, PersistentList<InstanceId>>,
) {
    /** Returns the agents that [entry] links to. */
    public fun agentsOf(entry: InstanceId): PersistentList<InstanceId> = agentsByEntry[entry] ?: persistentListOf()

    /** Total number of links of all entries. */
    public val size: Int
        get() = agentsByEntry.values.sumOf { it.size }
}
