package toucanrelay.core.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentSet
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.time.Clock

/**
 * Remembers which instances leave.
 *
 * Lists are read by several entries and lag by differing times, so that a list which does not show the mark may be older
 * than one that did. A mark is dropped only when lists have shown the instance as live for [lagMilliseconds] without a
 * break.
 *
 * Not safe for concurrent use.
 */
public class LeavingMarks(
    private val clock: Clock,
    private val lagMilliseconds: Long = DEFAULT_LAG_MILLISECONDS,
) {
    private var lastSeen: PersistentMap<InstanceId, Long> = persistentMapOf()

    /** The instances that leave. */
    public val leaving: PersistentSet<InstanceId>
        get() = lastSeen.keys.toPersistentSet()

    /** Takes in a list that shows [live] and [leaving] instances; instances on neither are forgotten. */
    public fun takeList(live: Set<InstanceId>, leaving: Set<InstanceId>) {
        val now = clock.nowMilliseconds()
        lastSeen = lastSeen.keys.fold(lastSeen) { marks, instance -> keepOrDrop(marks, instance, live, now) }
        leaving.forEach { lastSeen = lastSeen.put(it, now) }
    }

    /** Takes in marks that another entry saw; returns those that are new here. */
    public fun takeNotice(leaving: Collection<InstanceId>): PersistentSet<InstanceId> {
        val added = leaving.filterNot { it in lastSeen }.toPersistentSet()
        val now = clock.nowMilliseconds()
        added.forEach { lastSeen = lastSeen.put(it, now) }
        return added
    }

    private fun keepOrDrop(
        marks: PersistentMap<InstanceId, Long>,
        instance: InstanceId,
        live: Set<InstanceId>,
        now: Long,
    ): PersistentMap<InstanceId, Long> {
        val isOutdated = now - marks.getValue(instance) >= lagMilliseconds
        return if (instance !in live || isOutdated) marks.remove(instance) else marks
    }

    public companion object {
        /** How far the platform's lists may differ. */
        public const val DEFAULT_LAG_MILLISECONDS: Long = 10_000
    }
}
