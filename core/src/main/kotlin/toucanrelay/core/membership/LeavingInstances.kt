package toucanrelay.core.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentSet
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.time.Clock

/**
 * Tracks which instances are leaving.
 *
 * Several entries read the platform's instance list with different lags, so a list that shows an instance as live can
 * be older than one that showed it as leaving. An instance counts as live again only after all lists have shown it as
 * live for [lagMilliseconds].
 *
 * Not thread-safe.
 */
public class LeavingInstances(
    private val clock: Clock,
    private val lagMilliseconds: Long = DEFAULT_LAG_MILLISECONDS,
) {
    /** For each leaving instance the last time it was seen as leaving, in milliseconds. */
    private var lastSeenAtMilliseconds: PersistentMap<InstanceId, Long> = persistentMapOf()

    /** The instances that are leaving. */
    public val leaving: PersistentSet<InstanceId>
        get() = lastSeenAtMilliseconds.keys.toPersistentSet()

    /** Applies an instance list that shows [live] and [leaving] instances; instances in neither set are removed. */
    public fun applyList(live: Set<InstanceId>, leaving: Set<InstanceId>) {
        val now = clock.nowMilliseconds()
        lastSeenAtMilliseconds =
            lastSeenAtMilliseconds.keys.fold(lastSeenAtMilliseconds) { times, instance ->
                removeIfOutdated(times, instance, live, now)
            }
        leaving.forEach { lastSeenAtMilliseconds = lastSeenAtMilliseconds.put(it, now) }
    }

    /** Adds instances that another entry saw as [leaving]; returns those that were not yet known to leave. */
    public fun addLeaving(leaving: Collection<InstanceId>): PersistentSet<InstanceId> {
        val added = leaving.filterNot { it in lastSeenAtMilliseconds }.toPersistentSet()
        val now = clock.nowMilliseconds()
        added.forEach { lastSeenAtMilliseconds = lastSeenAtMilliseconds.put(it, now) }
        return added
    }

    private fun removeIfOutdated(
        times: PersistentMap<InstanceId, Long>,
        instance: InstanceId,
        live: Set<InstanceId>,
        now: Long,
    ): PersistentMap<InstanceId, Long> {
        val isOutdated = now - times.getValue(instance) >= lagMilliseconds
        return if (instance !in live || isOutdated) times.remove(instance) else times
    }

    public companion object {
        /** Maximum difference in age between two instance lists that the platform serves. */
        public const val DEFAULT_LAG_MILLISECONDS: Long = 10_000
    }
}
