package toucanrelay.daemon.entry.dispatch

import toucanrelay.core.refusal.Executed
import toucanrelay.core.refusal.RefusalReason

/** How a caller's request ended. */
internal sealed interface RunOutcome {
    /** The caller got the whole answer. */
    data object Whole : RunOutcome

    /** The request was given up. */
    data class GivenUp(
        val reason: RefusalReason,
        val executed: Executed,
    ) : RunOutcome
}
