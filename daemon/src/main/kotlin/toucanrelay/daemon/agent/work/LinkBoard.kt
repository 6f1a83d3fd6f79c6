package toucanrelay.daemon.agent.work

import toucanrelay.core.grant.Grant
import toucanrelay.core.grant.LinkId

/** Where entries hear what the agent decided; called with the desk's lock held, so it must not wait. */
internal interface LinkBoard {
    /** Links in the order in which they get what cannot be split evenly. */
    val links: List<LinkId>

    /** Sends a grant. */
    fun send(grant: Grant)

    /** Notes that the capacity to announce may have changed. */
    fun capacityChanged()
}
