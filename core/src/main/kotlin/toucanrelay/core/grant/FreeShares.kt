package toucanrelay.core.grant

/**
 * Splits [free] slots over links, so that the announcements add up to what is free and entries do not race for a slot.
 *
 * @param links the links, those first that get the remainder.
 */
public fun <L> splitFreeSlots(free: Int, links: List<L>): Map<L, Int> {
    if (links.isEmpty()) return emptyMap()
    val each = free.coerceAtLeast(0) / links.size
    val remainder = free.coerceAtLeast(0) % links.size
    return links.withIndex().associate { (index, link) -> link to each + if (index < remainder) 1 else 0 }
}
