package toucanrelay.core.grant

/**
 * Splits [free] slots among links, so that the announced capacities add up to the free slots and entries do not race
 * for the same slot.
 *
 * @param links the links; the remainder goes to the first ones.
 */
public fun <L> splitFreeSlots(free: Int, links: List<L>): Map<L, Int> {
    if (links.isEmpty()) return emptyMap()
    val each = free.coerceAtLeast(0) / links.size
    val remainder = free.coerceAtLeast(0) % links.size
    return links.withIndex().associate { (index, link) -> link to each + if (index < remainder) 1 else 0 }
}
