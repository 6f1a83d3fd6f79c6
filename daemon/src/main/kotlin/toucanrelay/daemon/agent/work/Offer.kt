package toucanrelay.daemon.agent.work

import toucanrelay.core.refusal.RefusalReason

/** What became of a request that an entry offered. */
internal sealed interface Offer {
    /** The target does not get it. */
    data class Refused(
        val reason: RefusalReason,
        val detail: String,
    ) : Offer

    /** It runs, or waits for the next slot when [isStaged]. */
    class Taken(
        val run: Run,
        val isStaged: Boolean,
    ) : Offer
}
