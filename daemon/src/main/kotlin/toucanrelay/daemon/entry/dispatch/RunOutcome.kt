package toucanrelay.daemon.entry.dispatch

import toucanrelay.core.refusal.Executed
import toucanrelay.core.refusal.RefusalReason

/** How a caller's request ended. */
internal sealed interface RunOutcome {
    /** The answer was relayed completely. */
    data object Answered : RunOutcome

    /** The request ended without a complete answer. */
    data class GivenUp(
        val reason: RefusalReason,
        val executed: Executed,
    ) : RunOutcome
}
