package toucanrelay.gateway.member

import toucanrelay.core.identity.TargetId
import toucanrelay.core.placement.PromptPart

/** Queues the shared prompt parts that this process sent to engines until they are sent to all other members. */
internal class RecentPromptReads {
    private val unsentToOwnRegion = LinkedHashSet<PromptReadEntry>()
    private val unsentToOtherRegions = LinkedHashSet<PromptReadEntry>()

    /** Queues [sharedParts], which [target] is reading or has cached; the oldest entries give way to them. */
    fun record(target: TargetId, sharedParts: List<PromptPart>) {
        val parts = sharedParts.take(MAX_PARTS_PER_PROMPT).map { PromptPartEntry(it.id, it.tokens) }
        val entries = parts.chunked(MAX_PARTS_PER_ENTRY).map { PromptReadEntry(target.value, it) }
        queue(entries, unsentToOwnRegion)
        queue(entries, unsentToOtherRegions)
    }

    /** Removes and returns the oldest entries for members of this process's region. */
    fun takeForOwnRegion(): List<PromptReadEntry> = take(unsentToOwnRegion)

    /** Removes and returns the oldest entries for members of other regions. */
    fun takeForOtherRegions(): List<PromptReadEntry> = take(unsentToOtherRegions)

    /** Queues [entries] for members of this process's region again, which were taken and not sent. */
    fun returnForOwnRegion(entries: List<PromptReadEntry>) = putBack(entries, unsentToOwnRegion)

    /** Queues [entries] for members of other regions again, which were taken and not sent. */
    fun returnForOtherRegions(entries: List<PromptReadEntry>) = putBack(entries, unsentToOtherRegions)

    private fun queue(entries: List<PromptReadEntry>, queue: LinkedHashSet<PromptReadEntry>) {
        queue += entries
        removeOldest(queue)
    }

    private fun putBack(entries: List<PromptReadEntry>, queue: LinkedHashSet<PromptReadEntry>) {
        if (entries.isEmpty()) return
        val newer = queue.toList()
        queue.clear()
        queue += entries
        queue += newer
        removeOldest(queue)
    }

    private fun removeOldest(queue: LinkedHashSet<PromptReadEntry>) {
        val oldestFirst = queue.iterator()
        repeat(queue.size - MAX_QUEUED_ENTRIES) {
            oldestFirst.next()
            oldestFirst.remove()
        }
    }

    private fun take(queue: LinkedHashSet<PromptReadEntry>): List<PromptReadEntry> =
        queue.toList().also { queue.clear() }

    private companion object {
        /** Parts after these are not told, since a prompt of very many parts would displace all others. */
        const val MAX_PARTS_PER_PROMPT = 64

        /** Longer prompts are divided, so that prompts that begin alike have entries in common. */
        const val MAX_PARTS_PER_ENTRY = 16

        /** Entries beyond this are dropped; later requests with the same parts queue them again. */
        const val MAX_QUEUED_ENTRIES = 240
    }
}
