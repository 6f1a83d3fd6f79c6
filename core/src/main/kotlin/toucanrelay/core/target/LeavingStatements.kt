package toucanrelay.core.target

import toucanrelay.core.time.Clock

/**
 * Takes targets out of service that say in their answers that they are leaving, before the store says so.
 *
 * Each instance tells the others only what it read in an answer itself, so that a wrong statement does not go round.
 */
public class LeavingStatements(
    private val clock: Clock,
    private val registry: TargetRegistry,
    private val onLeaving: (run: LeavingRun, source: LeavingSource) -> Unit,
) {
    /** Clock readings of the newest own statements. */
    private val own = LinkedHashMap<LeavingRun, Long>()

    /** Records that [run] has said in an answer to this instance that it is leaving. */
    public fun recordAnswer(run: LeavingRun) {
        own.remove(run)
        own[run] = clock.nowMilliseconds()
        mark(run, LeavingSource.ANSWER)
    }

    /** Records that [run] has said in an answer to another instance that it is leaving. */
    public fun merge(run: LeavingRun) {
        mark(run, LeavingSource.MEMBER)
    }

    /** Returns the runs that recently told this instance that they are leaving, the newest first, at most [limit]. */
    public fun runsToShare(limit: Int): List<LeavingRun> {
        val oldest = clock.nowMilliseconds() - SHARED_MILLISECONDS
        own.values.removeIf { it < oldest }
        return own.keys
            .toList()
            .asReversed()
            .take(limit)
    }

    private fun mark(run: LeavingRun, source: LeavingSource) {
        if (registry.markLeaving(run.target, run.incarnation)) onLeaving(run, source)
    }

    private companion object {
        /** Several times the period in which instances share their state, since some of it is lost. */
        const val SHARED_MILLISECONDS = 10_000L
    }
}
