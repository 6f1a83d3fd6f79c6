package toucanrelay.gateway.member

import toucanrelay.core.identity.TargetId
import toucanrelay.core.placement.PromptPart

/** Queues the shared prompt parts that this process sent to engines until they are sent to all other members. */
internal class RecentPromptReads {
    private val unsentToOwnRegion = LinkedHashSet<PromptReadEntry>()
    private val unsentToOtherRegions = LinkedHashSet<PromptReadEntry>()

    /** Queues [sharedParts], which [target] is reading or has cached. */
    fun record(target: TargetId, sharedParts: List<PromptPart>) {
        if (sharedParts.isEmpty()) return
        val entry = PromptReadEntry(target.value, sharedParts.map { PromptPartEntry(it.id, it.tokens) })
        if (unsentToOwnRegion.size < MAX_QUEUED_ENTRIES) unsentToOwnRegion += entry
        if (unsentToOtherRegions.size < MAX_QUEUED_ENTRIES) unsentToOtherRegions += entry
    }

    /** Removes and returns the oldest entries for members of this process's region, as many as fit in a digest. */
    fun takeForOwnRegion(): List<PromptReadEntry> = take(unsentToOwnRegion)

    /** Removes and returns the oldest entries for members of other regions, as many as fit in a digest. */
    fun takeForOtherRegions(): List<PromptReadEntry> = take(unsentToOtherRegions)

    private fun take(entries: LinkedHashSet<PromptReadEntry>): List<PromptReadEntry> =
        entries.take(MAX_ENTRIES_PER_DIGEST).also { entries.removeAll(it.toSet()) }

    private companion object {
        /** Keeps a digest within one datagram. */
        const val MAX_ENTRIES_PER_DIGEST = 60

        /** Entries beyond this are dropped; later requests with the same parts queue them again. */
        const val MAX_QUEUED_ENTRIES = 240
    }
}
