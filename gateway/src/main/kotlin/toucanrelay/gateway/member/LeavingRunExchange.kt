package toucanrelay.gateway.member

import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.TargetId
import toucanrelay.core.target.LeavingRun
import toucanrelay.core.target.LeavingStatements

/** Converts statements of targets that are leaving between [LeavingStatements] and digests. */
internal class LeavingRunExchange(
    private val statements: LeavingStatements,
) {
    /** Returns the runs for the next digest. */
    fun shared(): List<LeavingRunEntry> =
        statements.runsToShare(MAX_RUNS_PER_DIGEST).map { LeavingRunEntry(it.target.value, it.incarnation.value) }

    /** Records the runs of another member's digest. */
    fun receive(entries: List<LeavingRunEntry>) {
        entries.forEach { statements.merge(LeavingRun(TargetId(it.target), Incarnation(it.incarnation))) }
    }

    private companion object {
        const val MAX_RUNS_PER_DIGEST = 64
    }
}
