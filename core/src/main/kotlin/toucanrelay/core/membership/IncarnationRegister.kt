package toucanrelay.core.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.ProcessRun

/** How a run of a process stands to the runs that were seen before. */
public enum class RunStanding {
    /** The first run that was seen of its instance. */
    FIRST,

    /** The run that was seen last. */
    CURRENT,

    /** Supersedes the run that was seen last: what was meant for that one must not reach this one. */
    SUPERSEDING,

    /** Superseded: what it sends is to be dropped. */
    SUPERSEDED,
}

/**
 * Remembers the highest incarnation of each instance, so that a restarted process is never taken for its predecessor.
 *
 * Not safe for concurrent use.
 */
public class IncarnationRegister {
    private var highest: PersistentMap<InstanceId, Incarnation> = persistentMapOf()

    /** Notes that [run] was seen on a link and tells how it stands to earlier ones. */
    public fun note(run: ProcessRun): RunStanding {
        val known = highest[run.instance]
        val standing =
            when {
                known == null -> RunStanding.FIRST
                run.incarnation == known -> RunStanding.CURRENT
                run.incarnation > known -> RunStanding.SUPERSEDING
                else -> RunStanding.SUPERSEDED
            }
        if (standing != RunStanding.SUPERSEDED) highest = highest.put(run.instance, run.incarnation)
        return standing
    }

    /** The highest incarnation that was seen of [instance]; null when none was. */
    public fun current(instance: InstanceId): Incarnation? = highest[instance]

    /** Forgets instances that are not in [known], which left the platform's list for good. */
    public fun retain(known: Set<InstanceId>) {
        highest = highest.keys.filterNot { it in known }.fold(highest) { kept, gone -> kept.remove(gone) }
    }
}
