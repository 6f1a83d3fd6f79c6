package toucanrelay.core.routing

/**
 * Prefixes that one target's cache is believed to hold, from cache events that arrive late and with gaps.
 *
 * @param capacity prefixes remembered at most; the oldest are forgotten first.
 */
public class PrefixIndex(
    private val capacity: Int = 4_096,
) {
    private val hashes = LinkedHashSet<Long>()

    /** How many prefixes are remembered. */
    public val size: Int
        get() = hashes.size

    /** Applies a change; [isReset] drops what was known, because events were missed. */
    public fun apply(added: Iterable<Long>, removed: Iterable<Long>, isReset: Boolean) {
        if (isReset) hashes.clear()
        removed.forEach { hashes.remove(it) }
        added.forEach { add(it) }
    }

    /** Whether the target's cache is believed to hold the prefix. */
    public operator fun contains(hash: Long): Boolean = hash in hashes

    private fun add(hash: Long) {
        hashes.remove(hash)
        hashes.add(hash)
        if (hashes.size > capacity) hashes.remove(hashes.first())
    }
}
