package toucanrelay.core.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.ProcessRun

/** Order of an observed process run relative to the runs that were seen earlier for the same instance. */
public enum class RunStatus {
    /** The first run seen for its instance. */
    FIRST,

    /** The latest known run. */
    CURRENT,

    /** Replaces the latest known run; messages addressed to that run must not reach this one. */
    SUPERSEDING,

    /** Older than the latest known run; its messages are dropped. */
    SUPERSEDED,
}

/**
 * Tracks the highest incarnation of each instance, so that a restarted process is never mistaken for its predecessor.
 *
 * Not thread-safe.
 */
public class IncarnationRegistry {
    private var highest: PersistentMap<InstanceId, Incarnation> = persistentMapOf()

    /** Records that [run] was seen on a link and returns its order relative to earlier runs. */
    public fun record(run: ProcessRun): RunStatus {
        val highestSeen = highest[run.instance]
        val status =
            when {
                highestSeen == null -> RunStatus.FIRST
                run.incarnation == highestSeen -> RunStatus.CURRENT
                run.incarnation > highestSeen -> RunStatus.SUPERSEDING
                else -> RunStatus.SUPERSEDED
            }
        if (status != RunStatus.SUPERSEDED) highest = highest.put(run.instance, run.incarnation)
        return status
    }

    /** Returns the highest incarnation seen for [instance], or null if none was seen. */
    public fun current(instance: InstanceId): Incarnation? = highest[instance]

    /** Removes instances that are not in [known]: they have left the platform's list permanently. */
    public fun retain(known: Set<InstanceId>) {
        highest = highest.keys.filterNot { it in known }.fold(highest) { kept, removed -> kept.remove(removed) }
    }
}
