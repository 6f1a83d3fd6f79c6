package toucanrelay.gateway.member

import toucanrelay.core.identity.TargetId
import toucanrelay.core.placement.PromptPart

/** Shared prompt parts that this process had engines read and has not told all other members yet. */
internal class RecentReads {
    private val forNear = LinkedHashSet<ReadEntry>()
    private val forFar = LinkedHashSet<ReadEntry>()

    /** Notes that [target] reads or keeps [sharedParts]. */
    fun note(target: TargetId, sharedParts: List<PromptPart>) {
        if (sharedParts.isEmpty()) return
        val entry = ReadEntry(target.value, sharedParts.map { PartEntry(it.id, it.tokens) })
        if (forNear.size < MOST_KEPT) forNear += entry
        if (forFar.size < MOST_KEPT) forFar += entry
    }

    /** Takes the oldest notes that members of this process's region have not got, as many as a digest holds. */
    fun takeForNear(): List<ReadEntry> = take(forNear)

    /** Takes the oldest notes that members of other regions have not got, as many as a digest holds. */
    fun takeForFar(): List<ReadEntry> = take(forFar)

    private fun take(entries: LinkedHashSet<ReadEntry>): List<ReadEntry> =
        entries.take(MOST_IN_A_DIGEST).also { entries.removeAll(it.toSet()) }

    private companion object {
        /** Keeps a digest within one datagram. */
        const val MOST_IN_A_DIGEST = 60

        /** What is left out is learned from later reads. */
        const val MOST_KEPT = 240
    }
}
