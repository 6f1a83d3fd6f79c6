package toucanrelay.core.target

import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.TargetId

/** Remembers one run of each of at most [maxTargets] targets, those that were recorded last. */
internal class RecentRuns(
    private val maxTargets: Int,
) {
    private val runs = LinkedHashMap<TargetId, Incarnation>()

    /** Remembers the run [incarnation] of [target] in place of the one before. */
    fun record(target: TargetId, incarnation: Incarnation) {
        runs.remove(target)
        runs[target] = incarnation
        if (runs.size > maxTargets) runs.remove(runs.keys.first())
    }

    /** Forgets the run of [target]. */
    fun forget(target: TargetId) {
        runs.remove(target)
    }

    /** Returns whether the run [incarnation] of [target] is remembered. */
    fun contains(target: TargetId, incarnation: Incarnation): Boolean = runs[target] == incarnation
}
