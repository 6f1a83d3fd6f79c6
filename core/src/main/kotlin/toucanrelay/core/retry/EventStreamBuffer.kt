package toucanrelay.core.retry

/**
 * Buffers a stream of server-sent events so that only complete events are forwarded to the caller, and the final event
 * `[DONE]` only once the answer is known to be complete.
 *
 * An interrupted stream can therefore be ended with an error event. The bytes forwarded, including those of [finish],
 * equal the bytes received. An event larger than [maxBufferedBytes] is forwarded in parts.
 *
 * @param maxBufferedBytes maximum number of bytes to buffer.
 */
public class EventStreamBuffer(
    private val maxBufferedBytes: Int = 65_536,
) {
    private var buffered = EMPTY

    /** Whether an event exceeded the buffer, so that only a part of it may have been forwarded. */
    public var hasSplitEvent: Boolean = false
        private set

    /** Appends [bytes] and returns the bytes to forward to the caller now. */
    public fun accept(bytes: ByteArray): ByteArray {
        val all = if (buffered.isEmpty()) bytes else buffered + bytes
        val cut = all.endOfForwardable()
        if (all.size - cut > maxBufferedBytes) {
            buffered = EMPTY
            hasSplitEvent = true
            return all
        }
        buffered = if (cut == all.size) EMPTY else all.copyOfRange(cut, all.size)
        return if (cut == all.size) all else all.copyOfRange(0, cut)
    }

    /** Returns the remaining buffered bytes; called once the answer is complete. */
    public fun finish(): ByteArray = buffered.also { buffered = EMPTY }

    /** Returns the end of the last complete event, or its start if it is the `[DONE]` event. */
    private fun ByteArray.endOfForwardable(): Int {
        val end = endOfEvent(size)
        return if (isDoneEvent(end)) endOfEvent(end - 1) else end
    }

    /** Returns the end of the last complete event that ends at or before [limit], or zero if there is none. */
    private fun ByteArray.endOfEvent(limit: Int): Int {
        var end = limit
        while (end > 0 && !isEventEnd(end)) end--
        return end
    }

    private fun ByteArray.isEventEnd(end: Int): Boolean =
        end >= 2 && this[end - 1] == LINE_FEED &&
            (this[end - 2] == LINE_FEED || (end >= 3 && this[end - 2] == CARRIAGE_RETURN && this[end - 3] == LINE_FEED))

    private fun ByteArray.isDoneEvent(eventEnd: Int): Boolean {
        var end = eventEnd
        while (end > 0 && (this[end - 1] == LINE_FEED || this[end - 1] == CARRIAGE_RETURN)) end--
        val start = end - DONE_EVENT.size
        return start >= 0 && DONE_EVENT.indices.all { this[start + it] == DONE_EVENT[it] }
    }

    private companion object {
        val EMPTY = ByteArray(0)
        val DONE_EVENT = "data: [DONE]".toByteArray()
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
