package toucanrelay.core.target

import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.TargetId

/** Keeps a value for the newest known run of each target. */
internal class NewestRuns<V>(
    private val create: () -> V,
) {
    private class Entry<V>(
        val incarnation: Incarnation,
        val value: V,
    )

    private val entries = HashMap<TargetId, Entry<V>>()

    /** The values of all targets. */
    val values: List<V>
        get() = entries.values.map { it.value }

    /** Returns the value of the run [incarnation] of [target], or null if it has none. */
    fun find(target: TargetId, incarnation: Incarnation): V? =
        entries[target]?.takeIf { it.incarnation == incarnation }?.value

    /** Returns the value of the run [incarnation], a new one if the known run is earlier; null if it is later. */
    fun getOrCreate(target: TargetId, incarnation: Incarnation): V? {
        val known = entries[target]
        if (known != null && known.incarnation > incarnation) return null
        if (known != null && known.incarnation == incarnation) return known.value
        return create().also { entries[target] = Entry(incarnation, it) }
    }

    /** Returns what [transform] makes of each target, its run and value, without nulls. */
    fun <R : Any> mapNotNull(transform: (TargetId, Incarnation, V) -> R?): List<R> =
        entries.mapNotNull { (target, entry) -> transform(target, entry.incarnation, entry.value) }

    /** Forgets the targets for which [predicate] is true. */
    fun removeIf(predicate: (TargetId, V) -> Boolean) {
        entries.entries.removeIf { (target, entry) -> predicate(target, entry.value) }
    }
}
