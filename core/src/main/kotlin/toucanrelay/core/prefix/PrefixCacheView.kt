package toucanrelay.core.prefix

/** Type of change to a target's prefix cache. */
public enum class PrefixEventKind {
    /** The prefix was added to the cache. */
    STORED,

    /** The prefix was evicted from the cache. */
    REMOVED,
}

/**
 * A change event of a target's prefix cache.
 *
 * @property sequence sequence number, increased by 1 with each event; a gap means that events were lost.
 * @property prefixHash hash of the prefix.
 */
public data class PrefixEvent(
    public val sequence: Long,
    public val kind: PrefixEventKind,
    public val prefixHash: Long,
)

/**
 * A change to the known content of a prefix cache.
 *
 * @property isReset whether all previously known prefixes are dropped first.
 */
public data class PrefixChange(
    public val added: Set<Long>,
    public val removed: Set<Long>,
    public val isReset: Boolean = false,
) {
    /** Whether nothing changed. */
    public val isEmpty: Boolean
        get() = added.isEmpty() && removed.isEmpty() && !isReset
}

/**
 * An agent's view of its target's prefix cache, built from events that arrive late and with gaps.
 *
 * A lost event makes the view wrong for a single prefix, and a missed removal only costs the recomputation of a prompt,
 * so a gap does not discard the rest of the view. Beyond [capacity] the oldest prefixes are dropped, which limits how
 * long a wrong prefix stays.
 *
 * Not thread-safe.
 */
public class PrefixCacheView(
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    private val cached = LinkedHashSet<Long>()

    /** Sequence number of the last applied event. */
    public var lastSequence: Long = 0
        private set

    /** Number of lost events, counted from gaps in the sequence. */
    public var lostEvents: Long = 0
        private set

    /** The prefixes that are assumed to be cached. */
    public val prefixes: Set<Long>
        get() = cached.toSet()

    /** Applies [events] in the order of their sequence, skips those already applied, and returns what changed. */
    public fun update(events: List<PrefixEvent>): PrefixChange {
        val before = prefixes
        events.filter { it.sequence > lastSequence }.sortedBy { it.sequence }.forEach(::update)
        while (cached.size > capacity) cached.remove(cached.first())
        return PrefixChange(added = cached - before, removed = before - cached)
    }

    /** Clears the view after a restart of the target. */
    public fun reset(): PrefixChange {
        cached.clear()
        lastSequence = 0
        return PrefixChange(emptySet(), emptySet(), isReset = true)
    }

    private fun update(event: PrefixEvent) {
        if (lastSequence > 0) lostEvents += event.sequence - lastSequence - 1
        lastSequence = event.sequence
        cached.remove(event.prefixHash)
        if (event.kind == PrefixEventKind.STORED) cached += event.prefixHash
    }

    private companion object {
        const val DEFAULT_CAPACITY = 1_024
    }
}
