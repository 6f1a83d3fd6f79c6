package toucanrelay.core.prefix

/** What a target's prefix cache did with a prefix. */
public enum class PrefixEventKind {
    /** The prefix was taken into the cache. */
    STORED,

    /** The prefix was dropped from the cache. */
    REMOVED,
}

/**
 * One event of a target's prefix cache.
 *
 * @property sequence grows with each event; a jump means that events were lost.
 * @property prefixHash hash of the prefix.
 */
public data class PrefixEvent(
    public val sequence: Long,
    public val kind: PrefixEventKind,
    public val prefixHash: Long,
)

/**
 * A change of what is known of a prefix cache.
 *
 * @property isReset whether what was known before is dropped.
 */
public data class PrefixChange(
    public val added: Set<Long>,
    public val removed: Set<Long>,
    public val isReset: Boolean = false,
) {
    /** Whether there is nothing to tell. */
    public val isEmpty: Boolean
        get() = added.isEmpty() && removed.isEmpty() && !isReset
}

/**
 * What an agent knows of its target's prefix cache, from events that come late and with gaps.
 *
 * A lost event makes one prefix wrong: a removal that was missed costs a prompt that is computed anew, so a gap does
 * not drop the rest. The oldest prefixes are dropped beyond [capacity], which bounds how long such a mistake lasts.
 *
 * Not safe for use by several threads at once.
 */
public class PrefixCacheView(
    private val capacity: Int = CAPACITY,
) {
    private val known = LinkedHashSet<Long>()

    /** Sequence of the last event that was taken in. */
    public var lastSequence: Long = 0
        private set

    /** Events that were lost, as gaps in the sequence show. */
    public var lostEvents: Long = 0
        private set

    /** The prefixes that are held to be cached. */
    public val prefixes: Set<Long>
        get() = known.toSet()

    /** Takes in [events] in their order and returns what changed. */
    public fun take(events: List<PrefixEvent>): PrefixChange {
        val before = prefixes
        events.filter { it.sequence > lastSequence }.sortedBy { it.sequence }.forEach(::take)
        while (known.size > capacity) known.remove(known.first())
        return PrefixChange(added = known - before, removed = before - known)
    }

    /** Forgets everything: the target has started anew. */
    public fun reset(): PrefixChange {
        known.clear()
        lastSequence = 0
        return PrefixChange(emptySet(), emptySet(), isReset = true)
    }

    private fun take(event: PrefixEvent) {
        if (lastSequence > 0) lostEvents += event.sequence - lastSequence - 1
        lastSequence = event.sequence
        known.remove(event.prefixHash)
        if (event.kind == PrefixEventKind.STORED) known += event.prefixHash
    }

    private companion object {
        const val CAPACITY = 1_024
    }
}
