package toucanrelay.gateway.member

import toucanrelay.core.identity.TargetId
import toucanrelay.core.placement.PromptPart

/** Shared prompt parts that this process had engines read since its last digest. */
internal class RecentReads {
    private val entries = LinkedHashSet<ReadEntry>()

    /** Notes that [target] reads or keeps [sharedParts]. */
    fun note(target: TargetId, sharedParts: List<PromptPart>) {
        if (sharedParts.isEmpty() || entries.size >= MOST_ENTRIES) return
        entries += ReadEntry(target.value, sharedParts.map { PartEntry(it.id, it.tokens) })
    }

    /** Returns all notes and forgets them. */
    fun take(): List<ReadEntry> = entries.toList().also { entries.clear() }

    private companion object {
        /** Keeps a digest within one datagram; what is left out is learned from later reads. */
        const val MOST_ENTRIES = 60
    }
}
