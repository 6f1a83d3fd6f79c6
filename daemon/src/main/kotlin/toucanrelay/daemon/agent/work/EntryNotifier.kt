package toucanrelay.daemon.agent.work

import toucanrelay.core.grant.Grant
import toucanrelay.core.grant.LinkId

/** Sends the agent's decisions to entries; called while [RequestExecutor] holds its lock, so it must not block. */
internal interface EntryNotifier {
    /** Open links, in the order in which they receive the remainder of an uneven split. */
    val links: List<LinkId>

    /** Sends [grant] to the entry of its link. */
    fun send(grant: Grant)

    /** Signals that the capacity to announce may have changed. */
    fun signalCapacityChange()
}
