package toucanrelay.core.retry

/**
 * Cuts a stream of server-sent events so that the caller gets whole events only, and the last event `[DONE]` only when
 * the answer is known to be whole.
 *
 * A stream that breaks off can then be ended by an error event. The bytes given out, together with those of [finish],
 * are the bytes taken in. An event longer than the limit is passed on in parts.
 *
 * @param maximumHeldBytes bytes that are held back at most.
 */
public class EventStreamTail(
    private val maximumHeldBytes: Int = 65_536,
) {
    private var held = EMPTY

    /** Whether an event was too long to be held back, so that a part of it may have been given out. */
    public var hasSplitEvent: Boolean = false
        private set

    /** Takes in [bytes] and returns those that may be given to the caller now. */
    public fun accept(bytes: ByteArray): ByteArray {
        val all = if (held.isEmpty()) bytes else held + bytes
        val cut = all.endOfGivable()
        if (all.size - cut > maximumHeldBytes) {
            held = EMPTY
            hasSplitEvent = true
            return all
        }
        held = if (cut == all.size) EMPTY else all.copyOfRange(cut, all.size)
        return if (cut == all.size) all else all.copyOfRange(0, cut)
    }

    /** Returns what was held back, once the answer is whole. */
    public fun finish(): ByteArray = held.also { held = EMPTY }

    /** The end of the last whole event, or its beginning when it is the end mark. */
    private fun ByteArray.endOfGivable(): Int {
        val end = endOfEvent(size)
        return if (isEndMark(end)) endOfEvent(end - 1) else end
    }

    /** The end of the last whole event that ends at [limit] or before; zero when there is none. */
    private fun ByteArray.endOfEvent(limit: Int): Int {
        var end = limit
        while (end > 0 && !isEventEnd(end)) end--
        return end
    }

    private fun ByteArray.isEventEnd(end: Int): Boolean =
        end >= 2 && this[end - 1] == LINE_FEED &&
            (this[end - 2] == LINE_FEED || (end >= 3 && this[end - 2] == CARRIAGE_RETURN && this[end - 3] == LINE_FEED))

    private fun ByteArray.isEndMark(eventEnd: Int): Boolean {
        var end = eventEnd
        while (end > 0 && (this[end - 1] == LINE_FEED || this[end - 1] == CARRIAGE_RETURN)) end--
        val start = end - DONE.size
        return start >= 0 && DONE.indices.all { this[start + it] == DONE[it] }
    }

    private companion object {
        val EMPTY = ByteArray(0)
        val DONE = "data: [DONE]".toByteArray()
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
