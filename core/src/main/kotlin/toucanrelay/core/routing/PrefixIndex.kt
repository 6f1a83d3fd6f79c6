package toucanrelay.core.routing

/**
 * Approximates the prefixes in one target's cache from cache events, which may be delayed or lost.
 *
 * @param capacity maximum number of prefixes; the least recently added are evicted first.
 */
public class PrefixIndex(
    private val capacity: Int = 4_096,
) {
    private val hashes = LinkedHashSet<Long>()

    /** Number of prefixes in the index. */
    public val size: Int
        get() = hashes.size

    /** Applies a change; with [isReset], which means that events were missed, the index is cleared first. */
    public fun apply(added: Iterable<Long>, removed: Iterable<Long>, isReset: Boolean) {
        if (isReset) hashes.clear()
        removed.forEach { hashes.remove(it) }
        added.forEach { add(it) }
    }

    /** Returns whether the target's cache is expected to contain the prefix. */
    public operator fun contains(hash: Long): Boolean = hash in hashes

    private fun add(hash: Long) {
        hashes.remove(hash)
        hashes.add(hash)
        if (hashes.size > capacity) hashes.remove(hashes.first())
    }
}
