package toucanrelay.core.placement

/**
 * Estimates which prompt parts one engine has cached, from the requests that were sent to it.
 *
 * Like the engine itself, it evicts the least recently used parts beyond [capacityTokens].
 */
public class PrefixResidency(
    private val capacityTokens: Long,
) {
    private val tokensByPart = LinkedHashMap<String, Int>(INITIAL_PARTS, LOAD_FACTOR, true)
    private var totalTokens = 0L

    /** Tokens at the start of a prompt with [parts] that the engine need not read again. */
    public fun residentTokens(parts: List<PromptPart>): Int =
        parts
            .takeWhile { it.id in tokensByPart }
            .sumOf { it.tokens.toLong() }
            .coerceAtMost(Int.MAX_VALUE.toLong())
            .toInt()

    /** Records that the engine reads a prompt with [parts]. */
    public fun recordRead(parts: List<PromptPart>) {
        parts.forEach { part ->
            val previous = tokensByPart.put(part.id, part.tokens)
            totalTokens += part.tokens - (previous ?: 0)
        }
        evict()
    }

    private fun evict() {
        val oldestFirst = tokensByPart.entries.iterator()
        while (totalTokens > capacityTokens && oldestFirst.hasNext()) {
            totalTokens -= oldestFirst.next().value
            oldestFirst.remove()
        }
    }

    private companion object {
        const val INITIAL_PARTS = 64
        const val LOAD_FACTOR = 0.75f
    }
}
