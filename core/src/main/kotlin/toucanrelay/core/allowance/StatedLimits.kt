package toucanrelay.core.allowance

import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.TargetId
import toucanrelay.core.target.NewestRuns
import toucanrelay.core.time.Clock

/**
 * Keeps the newest limit that each target has stated to any instance of the fleet.
 *
 * A limit belongs to one run of its target and ends with it. Each instance shares only the statements that it read
 * itself, so that their ages do not grow on the way over other instances.
 */
public class StatedLimits(
    private val clock: Clock,
    private val observer: StatedLimitObserver? = null,
) {
    private class Entry {
        var newest: LimitStatement? = null
        var own: LimitStatement? = null
        var isUnreadableReported = false
    }

    private val entries = NewestRuns { Entry() }

    /** Number of targets that state a limit. */
    public val limitedTargets: Int
        get() = entries.values.count { it.newest?.requestsPerSecond != null }

    /** Returns the limit that the run [incarnation] of [target] states, or null. */
    public fun find(target: TargetId, incarnation: Incarnation): Double? =
        entries.find(target, incarnation)?.newest?.requestsPerSecond

    /** Records an answer of the run [incarnation] of [target] to a request sent at [sentAtMilliseconds]. */
    public fun recordAnswer(
        target: TargetId,
        incarnation: Incarnation,
        stated: StatedLimit,
        sentAtMilliseconds: Long,
    ) {
        val statement =
            when (stated) {
                is StatedLimit.PerSecond -> LimitStatement(stated.requestsPerSecond, clock.nowMilliseconds())
                StatedLimit.None -> LimitStatement(null, sentAtMilliseconds)
                is StatedLimit.Unreadable -> return reportUnreadable(target, incarnation, stated)
            }
        if (statement.requestsPerSecond == null && find(target, incarnation) == null) return
        val entry = entries.getOrCreate(target, incarnation) ?: return
        entry.own = newer(entry.own, statement)
        apply(target, entry, statement)
    }

    /** Adds the [statement] of the run [incarnation] of [target] that another instance read. */
    public fun merge(target: TargetId, incarnation: Incarnation, statement: LimitStatement) {
        if (statement.requestsPerSecond == null && find(target, incarnation) == null) return
        entries.getOrCreate(target, incarnation)?.let { apply(target, it, statement) }
    }

    /** Returns the recent statements that this instance read itself, the newest first, at most [limit]. */
    public fun statementsToShare(limit: Int): List<SharedStatement> {
        val oldest = clock.nowMilliseconds() - SHARED_MILLISECONDS
        return entries
            .mapNotNull { target, incarnation, entry -> entry.own?.let { SharedStatement(target, incarnation, it) } }
            .filter { it.statement.atMilliseconds >= oldest }
            .sortedByDescending { it.statement.atMilliseconds }
            .take(limit)
    }

    /** Forgets the targets that are not in [registered]. */
    public fun retain(registered: Set<TargetId>) {
        entries.removeIf { target, _ -> target !in registered }
    }

    private fun reportUnreadable(target: TargetId, incarnation: Incarnation, stated: StatedLimit.Unreadable) {
        val entry = entries.getOrCreate(target, incarnation) ?: return
        if (!entry.isUnreadableReported) observer?.onUnreadable(target, stated.text)
        entry.isUnreadableReported = true
    }

    private fun apply(target: TargetId, entry: Entry, statement: LimitStatement) {
        val before = entry.newest?.requestsPerSecond
        entry.newest = newer(entry.newest, statement)
        val after = entry.newest?.requestsPerSecond
        if (after != before) observer?.onChange(target, after)
    }

    private fun newer(known: LimitStatement?, other: LimitStatement): LimitStatement =
        if (known == null || other.atMilliseconds >= known.atMilliseconds) other else known

    private companion object {
        /** Several times the period in which instances share their state, since some of it is lost. */
        const val SHARED_MILLISECONDS = 10_000L
    }
}
