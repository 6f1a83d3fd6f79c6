package toucanrelay.daemon.entry.link

import toucanrelay.wire.CacheChange
import toucanrelay.wire.Capacity
import toucanrelay.wire.Grant

/** Receives events on links to agents. */
internal interface LinkListener {
    /** Called when the link has a new connection. */
    fun onConnected(link: AgentLink, session: AgentSession)

    /** Called when the link's connection has closed. */
    fun onDisconnected(link: AgentLink)

    /** Called when the agent announces its target's capacity. */
    fun onCapacity(link: AgentLink, capacity: Capacity)

    /** Called when the agent grants a slot. */
    fun onGrant(link: AgentLink, grant: Grant)

    /** Called when the target's prefix cache changes. */
    fun onCacheChange(link: AgentLink, change: CacheChange)
}
