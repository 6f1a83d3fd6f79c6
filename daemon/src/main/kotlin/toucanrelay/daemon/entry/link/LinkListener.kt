package toucanrelay.daemon.entry.link

import toucanrelay.wire.CacheChange
import toucanrelay.wire.Capacity
import toucanrelay.wire.Grant

/** Is told what happens on links to agents. */
internal interface LinkListener {
    /** The link has a new connection. */
    fun onConnected(link: AgentLink, session: AgentSession)

    /** The link's connection ended. */
    fun onDisconnected(link: AgentLink)

    /** The agent stated what its target can bear. */
    fun onCapacity(link: AgentLink, capacity: Capacity)

    /** The agent granted a slot. */
    fun onGrant(link: AgentLink, grant: Grant)

    /** The target's prefix cache changed. */
    fun onCacheChange(link: AgentLink, change: CacheChange)
}
