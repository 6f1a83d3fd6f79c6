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

    /** Takes in [bytes] and returns those that may be given to the caller now. */
    public fun accept(bytes: ByteArray): ByteArray {
        val all = if (held.isEmpty()) bytes else held + bytes
        val cut = if (all.endsWithDone()) all.size - DONE.size else all.endOfLastEvent()
        if (all.size - cut > maximumHeldBytes) {
            held = EMPTY
            return all
        }
        held = if (cut == all.size) EMPTY else all.copyOfRange(cut, all.size)
        return if (cut == all.size) all else all.copyOfRange(0, cut)
    }

    /** Returns what was held back, once the answer is whole. */
    public fun finish(): ByteArray = held.also { held = EMPTY }

    private fun ByteArray.endOfLastEvent(): Int {
        var end = size
        while (end > 0 && !isEventEnd(end)) end--
        return if (end > 0 && copyOfRange(0, end).endsWithDone()) end - DONE.size else end
    }

    private fun ByteArray.isEventEnd(end: Int): Boolean =
        end >= 2 && this[end - 1] == LINE_FEED &&
            (this[end - 2] == LINE_FEED || (end >= 3 && this[end - 2] == CARRIAGE_RETURN && this[end - 3] == LINE_FEED))

    private fun ByteArray.endsWithDone(): Boolean {
        if (size < DONE.size) return false
        val start = size - DONE.size
        return DONE.indices.all { this[start + it] == DONE[it] }
    }

    private companion object {
        val EMPTY = ByteArray(0)
        val DONE = "data: [DONE]\n\n".toByteArray()
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
